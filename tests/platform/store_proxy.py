"""TCP proxy to the store that a test can interrupt for one process."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import TYPE_CHECKING

from tests.platform.loopback import loopback_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'


class ProxyMode(Enum):
    """How the proxy treats connections.

    ``OPEN``: forwards all bytes. ``REFUSING``: answers new connections with
    status 503. ``RESETTING``: closes new connections at once. ``SILENT``:
    accepts connections and drops all bytes. ``REFUSING`` and ``RESETTING``
    also abort connections that are open.
    """

    OPEN = 'open'
    REFUSING = 'refusing'
    RESETTING = 'resetting'
    SILENT = 'silent'


class StoreProxy:
    """Forwards connections to the store, or interrupts them."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = ProxyMode.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    def set_mode(self, mode: ProxyMode) -> None:
        self._mode = mode
        if mode is not ProxyMode.SILENT:
            for writer in self._writers:
                writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._mode is ProxyMode.RESETTING:
                return
            if self._mode is ProxyMode.REFUSING:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(_REFUSAL)
                await writer.drain()
                return
            host, port = self._target.split(':')
            upstream = await asyncio.open_connection(host, int(port))
            self._writers.add(upstream[1])
            await asyncio.gather(
                self._forward(reader, upstream[1]),
                self._forward(upstream[0], writer),
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self._mode is not ProxyMode.SILENT:
                    writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def store_proxy(target: str) -> AsyncIterator[StoreProxy]:
    """Serve on loopback during the block."""
    proxy = StoreProxy(target)
    async with loopback_server(proxy.serve) as proxy.address:
        try:
            yield proxy
        finally:
            proxy.set_mode(ProxyMode.RESETTING)
