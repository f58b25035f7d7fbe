"""A way to the store that a test can shut for one process."""

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
    """What becomes of bytes on their way to the store."""

    OPEN = 'open'
    REFUSING = 'refusing'
    RESETTING = 'resetting'
    SILENT = 'silent'


class StoreProxy:
    """Passes connections on, or shuts them, open ones too."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._state = ProxyMode.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    def set(self, state: ProxyMode) -> None:
        self._state = state
        if state is not ProxyMode.SILENT:
            for writer in self._writers:
                writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._state is ProxyMode.RESETTING:
                return
            if self._state is ProxyMode.REFUSING:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(_REFUSAL)
                await writer.drain()
                return
            host, port = self._target.split(':')
            inner = await asyncio.open_connection(host, int(port))
            self._writers.add(inner[1])
            await asyncio.gather(
                self._pump(reader, inner[1]), self._pump(inner[0], writer)
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self._state is not ProxyMode.SILENT:
                    writer.write(data)
        writer.close()


@contextlib.asynccontextmanager
async def store_proxy(target: str) -> AsyncIterator[StoreProxy]:
    """Serve on loopback during the block."""
    gate = StoreProxy(target)
    async with loopback_server(gate.serve) as gate.address:
        try:
            yield gate
        finally:
            gate.set(ProxyMode.RESETTING)
