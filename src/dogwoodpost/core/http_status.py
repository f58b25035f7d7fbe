"""Ranges of HTTP status codes."""

from __future__ import annotations

_SWITCHING_PROTOCOLS = 101


def is_interim_status(status: int) -> bool:
    """Return whether the final response is still to come.

    After 101, the connection no longer speaks HTTP.
    """
    return 100 <= status < 200 and status != _SWITCHING_PROTOCOLS


def is_success_status(status: int) -> bool:
    """Return whether a request was successful."""
    return 200 <= status < 300


def is_final_status(status: int) -> bool:
    """Return whether a response with the status may be the final one."""
    return 200 <= status < 600
