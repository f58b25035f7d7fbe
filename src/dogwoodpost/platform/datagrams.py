"""Datagrams over UDP."""

from __future__ import annotations

import asyncio
import ipaddress
from contextlib import asynccontextmanager
from functools import lru_cache
from typing import TYPE_CHECKING

from dogwoodpost.errors import TransportError
from dogwoodpost.platform.listen_address import ListenAddress
from dogwoodpost.ports.datagram_channel import DatagramChannel
from dogwoodpost.ports.datagram_channel import DatagramNetwork

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

_MAX_PORT = 65_535


class _Receiver(asyncio.DatagramProtocol):
    """Passes on datagrams; errors of single ones are ignored."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self._receive = receive
        self.is_paused = False

    def pause_writing(self) -> None:
        """Note that too many datagrams wait for the network."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Note that the network takes datagrams again."""
        self.is_paused = False

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass on a datagram."""
        self._receive(data)


class UdpChannel(DatagramChannel):
    """Channel on one UDP socket."""

    def __init__(
        self,
        transport: asyncio.DatagramTransport,
        receiver: _Receiver,
        address: str,
    ) -> None:
        self._transport = transport
        self._receiver = receiver
        self._address = address

    @property
    def address(self) -> str:
        """Return host and port."""
        return self._address

    def send(self, address: str, data: bytes) -> bool:
        """Send a datagram unless too many wait for the network.

        :param address: IP address and port.
        """
        target = _socket_address(address)
        if (
            target is None
            or self._receiver.is_paused
            or self._transport.is_closing()
        ):
            return False
        self._transport.sendto(data, target)
        return True


class UdpNetwork(DatagramNetwork):
    """Opens channels on one address, host and port."""

    def __init__(self, address: str) -> None:
        self._address = address

    @asynccontextmanager
    async def open(
        self, receive: Callable[[bytes], None]
    ) -> AsyncIterator[DatagramChannel]:
        """Bind the socket during the block."""
        receiver = _Receiver(receive)
        transport = await self._bind(receiver)
        try:
            host, port = transport.get_extra_info('sockname')[:2]
            yield UdpChannel(transport, receiver, f'{host}:{port}')
        finally:
            transport.abort()

    async def _bind(self, receiver: _Receiver) -> asyncio.DatagramTransport:
        target = _socket_address(self._address)
        if target is None:
            raise TransportError('the address has no IP address and port')
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: receiver, local_addr=target
            )
        except OSError as error:
            raise TransportError(str(error)) from error
        return transport


@lru_cache(maxsize=1024)
def _socket_address(address: str) -> tuple[str, int] | None:
    """Return IP address and port, or None if the address is malformed.

    Host names are refused, as their resolution would block the event loop.
    """
    try:
        parsed = ListenAddress(address)
        ip = str(ipaddress.IPv4Address(parsed.ip))
    except ValueError:
        return None
    return (ip, parsed.port) if 0 <= parsed.port <= _MAX_PORT else None
