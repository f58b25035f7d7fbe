"""Sockets whose close resets the connection."""

from __future__ import annotations

import socket
import struct
from typing import Protocol


class _Socket(Protocol):
    def setsockopt(self, level: int, option: int, value: bytes, /) -> None: ...


def set_reset_on_close(connection: _Socket, *, enabled: bool) -> None:
    """Choose how a socket ends its connection, also with its process.

    A reset discards the bytes that were not sent yet, and its receiver can
    tell it from an ordinary close.
    """
    # struct linger: enabled with a time-out of 0 s, so close() sends a reset.
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', enabled, 0)
    )
