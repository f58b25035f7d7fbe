"""Closes, freezes and reports usage windows under the usage lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.core.usage import decode_open_windows
from dogwoodpost.core.usage import decode_part
from dogwoodpost.core.usage import first_window_to_keep_open
from dogwoodpost.core.usage import frozen_key
from dogwoodpost.core.usage import merge
from dogwoodpost.core.usage import OPEN_WINDOWS_KEY
from dogwoodpost.core.usage import OpenWindows
from dogwoodpost.core.usage import part_prefix
from dogwoodpost.core.usage import REPORTED_WINDOWS_KEY
from dogwoodpost.core.usage import ReportedWindows
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Row
from dogwoodpost.ports.table_store import Write
from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.services.resolved_commit import commit_until_resolved

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.ports.usage_reports import UsageReports

_log = structlog.get_logger()
_SCAN_PAGE_SIZE = 1000
# Exceeds the longest time between two writes of an entry that reaches the
# store: the write interval, its jitter, and one call that times out.
GRACE_S = 15.0


class UsageReporter:
    """Reports usage windows while this process holds the usage lease.

    A new reporter is created each time the lease is acquired.

    :param window_s: length of a window, in seconds.
    :param grace_s: how long a window stays open after its end for late
        totals, in seconds.
    :param contact_since_s: returns the monotonic time in seconds since which
        the process has written its own rows, or None while its writes fail.
        Without this callback, contact counts from the reporter's first read
        that succeeds.
    """

    # Frozen rows are kept for operators: one week of windows of 60 s.
    retained_window_count = 7 * 24 * 60

    def __init__(
        self,
        *,
        guard: LeaseGuard,
        store: TableStore,
        platform: UsageReports,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        window_s: int,
        grace_s: float = GRACE_S,
        contact_since_s: Callable[[], float | None] | None = None,
    ) -> None:
        self._process_contact_since_s = contact_since_s
        self.grace_s = grace_s
        self._guard = guard
        self._store = store
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._window_s = window_s
        self._fencing_number = guard.fencing_number()
        self._contact_since_s: float | None = None
        self._commit_count = 0

    async def run_once(self) -> None:
        """Close the windows that are due and report all closed windows.

        :raises LeaseLostError: the lease was lost; this reporter must not be
            used again.
        :raises StoreError: the store did not answer.
        :raises PlatformError: the platform did not accept a report.
        """
        try:
            rows = await self._store.read(
                [OPEN_WINDOWS_KEY, REPORTED_WINDOWS_KEY]
            )
        except StoreError:
            self._contact_since_s = None
            raise
        if self._contact_since_s is None:
            self._contact_since_s = self._clock.monotonic_s()
        open_row = rows.get(OPEN_WINDOWS_KEY)
        if open_row is None:
            return
        open_windows = await self._close_due(open_row)
        next_window = _next_window_to_report(
            rows.get(REPORTED_WINDOWS_KEY), open_windows
        )
        for number in range(next_window, open_windows.first_open):
            await self._freeze_and_report(ids.UsageWindow(number))

    async def _close_due(self, open_row: Row) -> OpenWindows:
        """Close the windows whose grace period has passed, in one write.

        The grace period restarts after the store could not be reached: the
        entries could not reach it either and need time to write their totals.
        """
        open_windows = decode_open_windows(open_row)
        first_open = first_window_to_keep_open(
            self._clock.wall_s(), self._window_s, self.grace_s
        )
        if (
            first_open <= open_windows.first_open
            or not self._contact_covers_grace()
        ):
            return open_windows
        closed = OpenWindows(
            first_window=open_windows.first_window, first_open=first_open
        )
        await self._commit(
            [Check(OPEN_WINDOWS_KEY, open_row.version)],
            [Write(OPEN_WINDOWS_KEY, msgspec.json.encode(closed))],
        )
        return closed

    def _contact_covers_grace(self) -> bool:
        """Return whether contact to the store has lasted a grace period."""
        since_s = self._contact_since_s
        if since_s is None:
            return False
        if self._process_contact_since_s is not None:
            # The process may have been in contact for longer than it has
            # held the lease.
            since_s = self._process_contact_since_s()
            if since_s is None:
                return False
        contact_s = self._clock.monotonic_s() - since_s
        return contact_s >= self.grace_s

    async def _freeze_and_report(self, window: ids.UsageWindow) -> None:
        """Report a closed window; freeze its figures first if necessary."""
        key = frozen_key(window)
        rows = await self._store.read([key])
        parts = await self._read_parts(window)
        if key in rows:
            report = decode_json_row(rows[key].value, UsageReport)
        else:
            report = await self._freeze(window, parts)
        await self._platform.submit(report, before_send=self._assert_holder)
        self._metrics.events.labels('usage_window_reported').inc()
        _log.info(
            'usage_window_reported',
            window=window,
            fencing_number=self._fencing_number,
            client_accounts=len(report.figures),
            requests=sum(
                figures.request_count for figures in report.figures.values()
            ),
            parts=len(parts),
        )
        await self._mark_reported(window, parts)

    async def _freeze(
        self, window: ids.UsageWindow, parts: Sequence[Row]
    ) -> UsageReport:
        decoded = (decode_part(row.value) for row in parts)
        report = UsageReport(
            window=window, figures=merge(part.figures for part in decoded)
        )
        key = frozen_key(window)
        await self._commit(
            [Check(key, 0)], [Write(key, msgspec.json.encode(report))]
        )
        return report

    async def _mark_reported(
        self, window: ids.UsageWindow, parts: Sequence[Row]
    ) -> None:
        """Advance to the next window and delete rows no longer needed."""
        reported = ReportedWindows(next_window=ids.UsageWindow(window + 1))
        expired = ids.UsageWindow(window - self.retained_window_count)
        writes = [Write(REPORTED_WINDOWS_KEY, msgspec.json.encode(reported))]
        writes += [Write(row.key, None) for row in parts]
        writes.append(Write(frozen_key(expired), None))
        await self._commit([], writes)

    async def _read_parts(self, window: ids.UsageWindow) -> list[Row]:
        prefix = part_prefix(window)
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ''
            page = await self._store.scan(
                prefix, after=after, limit=_SCAN_PAGE_SIZE
            )
            rows += page
            if len(page) < _SCAN_PAGE_SIZE:
                return rows

    async def _commit(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        """Commit a transaction that fails if the lease was taken over.

        :raises LeaseLostError: the lease was lost.
        """
        self._commit_count += 1
        fence = self._guard.fence_check()
        start_s = self._clock.monotonic_s()
        try:
            await commit_until_resolved(
                self._store,
                ids.OperationId(
                    f'usage/{self._fencing_number}/{self._commit_count}'
                ),
                [fence, *checks],
                writes,
                clock=self._clock,
                rng=self._rng,
                before_attempt=self._assert_holder,
            )
        except StoreConflictError as error:
            raise LeaseLostError(
                f'usage lease: a transaction failed its checks: {error}'
            ) from error
        if self._clock.monotonic_s() - start_s > self.grace_s:
            self._contact_since_s = None

    def _assert_holder(self) -> None:
        """Raise unless the lease is held under the same fencing number.

        A lease that was lost and acquired again has a new fencing number.

        :raises LeaseLostError: the lease was lost.
        """
        if self._guard.fencing_number() != self._fencing_number:
            raise LeaseLostError(
                f'usage lease: fencing number {self._fencing_number} is no'
                ' longer valid'
            )


def _next_window_to_report(
    row: Row | None, open_windows: OpenWindows
) -> ids.UsageWindow:
    if row is None:
        return open_windows.first_window
    return decode_json_row(row.value, ReportedWindows).next_window
