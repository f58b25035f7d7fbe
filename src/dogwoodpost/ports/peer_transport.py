"""Port: messages between the system's own processes."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.messages import AnyMessage


class PeerTransport(abc.ABC):
    """Sends to peers by address and receives from all of them."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Return the address that peers reach this process at."""

    @abc.abstractmethod
    async def send(self, address: str, message: AnyMessage) -> None:
        """Hand a message to the connection to a peer.

        A return does not prove arrival.

        :raises TransportError: the message was surely not sent.
        """

    @abc.abstractmethod
    async def receive(self) -> AnyMessage:
        """Return the next message; malformed ones are counted and dropped."""

    @abc.abstractmethod
    def reconnect(self, address: str) -> None:
        """Drop the connection to a peer; the next send opens a new one."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
