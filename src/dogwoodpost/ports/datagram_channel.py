"""Port: datagrams between processes of this system."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager


class DatagramChannel(abc.ABC):
    """Sends datagrams to other processes."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """Return the address at which this process gets datagrams."""

    @abc.abstractmethod
    def send(self, address: str, data: bytes) -> bool:
        """Send a datagram without waiting; it may be lost.

        :returns: False if it was certainly not sent.
        """


class DatagramNetwork(abc.ABC):
    """Opens channels."""

    @abc.abstractmethod
    def open(
        self, receive: Callable[[bytes], None]
    ) -> AbstractAsyncContextManager[DatagramChannel]:
        """Open a channel during the block.

        :param receive: called with each datagram.
        :raises TransportError: the address can't be bound.
        """
