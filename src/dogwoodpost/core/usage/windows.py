"""Billing windows of equal length, numbered from the Unix epoch."""

from __future__ import annotations

from dogwoodpost.core import ids


def window_at(wall_s: float, window_s: int) -> ids.UsageWindow:
    """Return the window that contains a wall-clock time."""
    return ids.UsageWindow(int(wall_s // window_s))


def window_end_s(window: ids.UsageWindow, window_s: int) -> float:
    """Return the wall-clock time at which a window ends."""
    return float((window + 1) * window_s)


def first_window_to_keep_open(
    wall_s: float, window_s: int, grace_s: float
) -> ids.UsageWindow:
    """Return the first window whose grace period has not passed.

    :param grace_s: time after its end for which a window stays open.
    """
    return window_at(wall_s - grace_s, window_s)
