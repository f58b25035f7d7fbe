"""Port: messages between processes of this system."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.messages import AnyMessage


class PeerTransport(abc.ABC):
    """Sends messages to peers by address and receives from all peers."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Return the address at which peers reach this process."""

    @abc.abstractmethod
    async def send(self, address: str, message: AnyMessage) -> None:
        """Hand a message to the connection to a peer.

        A normal return does not guarantee delivery.

        :raises TransportError: the message was definitely not sent.
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
