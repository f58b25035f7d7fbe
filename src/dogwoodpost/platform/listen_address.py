"""Addresses on which a process listens."""

from __future__ import annotations


class ListenAddress:
    """IP address and port of a listening socket.

    :param address: both, separated by a colon.
    """

    def __init__(self, address: str) -> None:
        self.ip, _, port = address.rpartition(':')
        self.port = int(port)
