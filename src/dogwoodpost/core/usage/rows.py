"""Rows of usage in the table, and their keys."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.ports.usage_reports import UsageFigures

# Entries check the version of this row with each write of totals, so that
# no total of a window changes after the window was closed.
OPEN_WINDOWS_KEY = 'usage/open'
REPORTED_WINDOWS_KEY = 'usage/reported'


class OpenWindows(msgspec.Struct, frozen=True, kw_only=True):
    """Which windows still grow.

    ``first_window`` is the first one ever used; all windows from there to
    ``first_open`` are closed.
    """

    first_window: ids.UsageWindow
    first_open: ids.UsageWindow


class ReportedWindows(msgspec.Struct, frozen=True, kw_only=True):
    """All windows before ``next_window`` have been reported."""

    next_window: ids.UsageWindow


class UsagePart(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one incarnation of an entry for one window."""

    figures: dict[ids.ClientAccountId, UsageFigures]


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
