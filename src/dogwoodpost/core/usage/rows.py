"""Usage rows in the table, and their keys."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_msgpack_row
from dogwoodpost.ports.usage_reports import UsageFigures

# Entries check the version of the open-windows row with each write of
# totals, so that no total of a window changes after the window was closed.
# The two rows are read together, so no other keys may sort between them.
OPEN_WINDOWS_KEY = 'usage/windows/open'
REPORTED_WINDOWS_KEY = 'usage/windows/reported'

_FIELDS = UsageFigures.__struct_fields__
_CompactFigures = dict[ids.ClientAccountId, list[int]]


class OpenWindows(msgspec.Struct, frozen=True, kw_only=True):
    """Which windows still accept usage.

    :param first_window: the first window that was ever used.
    :param first_open: the first open window. All windows from
        ``first_window`` up to this one are closed.
    """

    first_window: ids.UsageWindow
    first_open: ids.UsageWindow


class ReportedWindows(msgspec.Struct, frozen=True, kw_only=True):
    """Which windows have been reported: all before ``next_window``."""

    next_window: ids.UsageWindow


class UsagePart(msgspec.Struct, frozen=True, kw_only=True):
    """Totals that one incarnation of an entry counted in one window."""

    figures: dict[ids.ClientAccountId, UsageFigures]


def encode_part(part: UsagePart) -> bytes:
    """Return the row value of a part.

    An entry rewrites its part every few seconds. To keep the row small,
    figures are MessagePack arrays without trailing zeros instead of JSON
    objects.
    """
    compact = {
        client_account_id: _without_trailing_zeros(figures)
        for client_account_id, figures in part.figures.items()
    }
    return msgspec.msgpack.encode(compact)


def decode_part(value: bytes) -> UsagePart:
    """Return the part of a row value.

    :raises MalformedRowError: the value is not a valid part.
    """
    compact = decode_msgpack_row(value, _CompactFigures)
    return UsagePart(
        figures={
            client_account_id: UsageFigures(
                **dict(zip(_FIELDS, numbers, strict=False))
            )
            for client_account_id, numbers in compact.items()
        }
    )


def _without_trailing_zeros(figures: UsageFigures) -> list[int]:
    numbers = list(msgspec.structs.astuple(figures))
    while numbers and numbers[-1] == 0:
        numbers.pop()
    return numbers


def part_prefix(window: ids.UsageWindow) -> str:
    """Return the prefix of the keys of a window's parts."""
    return f'usage/part/{window:012d}/'


def part_key(
    window: ids.UsageWindow, host_id: ids.HostId, incarnation: ids.Incarnation
) -> str:
    """Return the key of an entry's part of a window."""
    return f'{part_prefix(window)}{host_id}/{incarnation}'


def frozen_key(window: ids.UsageWindow) -> str:
    """Return the key of a window's frozen figures."""
    return f'usage/frozen/{window:012d}'
