"""Usage totals of one entry: counted figures and written figures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.core.usage.figures import add
from dogwoodpost.core.usage.figures import remainder_as_adjustment
from dogwoodpost.core.usage.rows import encode_part
from dogwoodpost.core.usage.rows import OPEN_WINDOWS_KEY
from dogwoodpost.core.usage.rows import OpenWindows
from dogwoodpost.core.usage.rows import part_key
from dogwoodpost.core.usage.rows import UsagePart
from dogwoodpost.core.usage.windows import window_at
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.ports.usage_reports import UsageFigures

if TYPE_CHECKING:
    from dogwoodpost.ports.table_store import Row

_NO_USAGE = UsageFigures()


class UsageFlush(msgspec.Struct, frozen=True, kw_only=True):
    """One transaction that writes all totals that have grown."""

    operation_id: ids.OperationId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    figures: dict[ids.UsageWindow, dict[ids.ClientAccountId, UsageFigures]]


# Entries that start at the same time write their first totals within this
# time of each other.
_FIRST_ROW_MARGIN_S = 5.0


class _Window:
    """Totals of one window, and the part of them that is in the table."""

    def __init__(self) -> None:
        self.totals: dict[ids.ClientAccountId, UsageFigures] = {}
        self.written: dict[ids.ClientAccountId, UsageFigures] = {}
        self.version = 0
        self.is_dirty = False

    def add(
        self, client_account_id: ids.ClientAccountId, figures: UsageFigures
    ) -> None:
        previous = self.totals.get(client_account_id, _NO_USAGE)
        self.totals[client_account_id] = add(previous, figures)
        self.is_dirty = True

    def remainder(self) -> dict[ids.ClientAccountId, UsageFigures]:
        """Return the usage that was not written, as adjustments."""
        remainders = {
            client_account_id: remainder_as_adjustment(
                total, self.written.get(client_account_id, _NO_USAGE)
            )
            for client_account_id, total in self.totals.items()
        }
        return {
            client_account_id: figures
            for client_account_id, figures in remainders.items()
            if figures != _NO_USAGE
        }


class UsageLedger:
    """Counts usage per window and plans its writes.

    Only one flush is in progress at a time. Its outcome must be known before
    the next flush is planned or the open windows are updated.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        incarnation: ids.Incarnation,
        window_s: int,
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._window_s = window_s
        self._windows: dict[ids.UsageWindow, _Window] = {}
        self._first_open = ids.UsageWindow(0)
        self._open_version = 0
        self._flush_count = 0

    @property
    def knows_open_windows(self) -> bool:
        """Return whether the open windows are known.

        Totals can be written only then.
        """
        return self._open_version > 0

    @property
    def unwritten_by_window(
        self,
    ) -> dict[ids.UsageWindow, dict[ids.ClientAccountId, UsageFigures]]:
        """Return the usage that a crash of this process would lose."""
        return {
            number: window.remainder()
            for number, window in self._windows.items()
        }

    def record(
        self,
        client_account_id: ids.ClientAccountId,
        figures: UsageFigures,
        wall_s: float,
    ) -> None:
        """Add usage to the window of a wall-clock time.

        If that window is already closed because this host's clock is behind,
        the usage is added to the first open window.
        """
        self._window(wall_s).add(client_account_id, figures)

    def learn_open_windows(
        self, first_open: ids.UsageWindow, version: int, wall_s: float
    ) -> None:
        """Update the open windows from the row in the table.

        Usage that was counted in a closed window but not written becomes an
        adjustment of the current window.

        :param first_open: first window that is still open.
        :param version: version of the row.
        :param wall_s: current wall-clock time.
        """
        self._first_open = first_open
        self._open_version = version
        closed = [window for window in self._windows if window < first_open]
        for window in closed:
            remainder = self._windows.pop(window).remainder()
            for client_account_id, figures in remainder.items():
                self._window(wall_s).add(client_account_id, figures)

    def initial_open_windows(self, wall_s: float) -> OpenWindows:
        """Return the open windows that the very first entry writes.

        They include windows in which other entries may already have counted
        usage.
        """
        earliest_s = wall_s - _FIRST_ROW_MARGIN_S
        window = min(
            window_at(earliest_s, self._window_s),
            min(self._windows, default=window_at(wall_s, self._window_s)),
        )
        return OpenWindows(first_window=window, first_open=window)

    def plan_flush(self) -> UsageFlush | None:
        """Return the write of all totals that have grown.

        The result is None if no total has grown or the open windows are not
        known yet.
        """
        dirty = {
            number: window
            for number, window in self._windows.items()
            if window.is_dirty
        }
        if not dirty or not self.knows_open_windows:
            return None
        self._flush_count += 1
        checks = [Check(OPEN_WINDOWS_KEY, self._open_version)]
        writes = []
        for number, window in dirty.items():
            key = part_key(number, self._host_id, self._incarnation)
            checks.append(Check(key, window.version))
            value = encode_part(UsagePart(figures=window.totals))
            writes.append(Write(key, value))
            window.is_dirty = False
        return UsageFlush(
            operation_id=ids.OperationId(
                f'usage/{self._host_id}/{self._incarnation}/'
                f'{self._flush_count}'
            ),
            checks=tuple(checks),
            writes=tuple(writes),
            figures={
                number: dict(window.totals) for number, window in dirty.items()
            },
        )

    def confirm_flush(
        self, flush: UsageFlush, versions: dict[str, int]
    ) -> None:
        """Record that a flush took effect.

        :param versions: new versions of the written rows, by key.
        """
        for number, figures in flush.figures.items():
            window = self._windows[number]
            window.written = figures
            key = part_key(number, self._host_id, self._incarnation)
            window.version = versions[key]

    def reject_flush(self, flush: UsageFlush) -> None:
        """Record that a flush had no effect, so that it is planned again."""
        for number in flush.figures:
            self._windows[number].is_dirty = True

    def _window(self, wall_s: float) -> _Window:
        number = max(window_at(wall_s, self._window_s), self._first_open)
        return self._windows.setdefault(number, _Window())


def decode_open_windows(row: Row) -> OpenWindows:
    """Return the content of the row under ``OPEN_WINDOWS_KEY``.

    :raises MalformedRowError: the value is not a valid ``OpenWindows``.
    """
    return decode_json_row(row.value, OpenWindows)
