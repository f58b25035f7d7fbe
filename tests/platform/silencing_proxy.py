"""TCP proxy whose open connections can go silent while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.platform.loopback import loopback_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_BUFFER_BYTES = 65_536


class _Relayed:
    """Two ends of one relayed connection."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.is_silent = False


class SilencingProxy:
    """Forwards connections to an address and counts them."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._open: set[_Relayed] = set()
        self.connection_count = 0
        self.address = ''

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def silence_open(self) -> int:
        """Drop all further bytes of the open connections; return how many."""
        for relayed in self._open:
            relayed.is_silent = True
        return len(self._open)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        host, port = self._target.split(':')
        upstream = await asyncio.open_connection(host, int(port))
        relayed = _Relayed(writer, upstream[1])
        self._open.add(relayed)
        to_target = asyncio.create_task(_forward(reader, upstream[1], relayed))
        to_client = asyncio.create_task(_forward(upstream[0], writer, relayed))
        try:
            # The target's end of a silent connection stays open.
            await to_target
            if not relayed.is_silent:
                await asyncio.wait({to_client}, timeout=1.0)
        finally:
            self._open.discard(relayed)
            to_client.cancel()
            for end in relayed.writers:
                end.transport.abort()

    def abort_all(self) -> None:
        for relayed in self._open:
            for end in relayed.writers:
                end.transport.abort()


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    relayed: _Relayed,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(_BUFFER_BYTES):
            if not relayed.is_silent:
                writer.write(data)
        if not relayed.is_silent:
            writer.write_eof()


@contextlib.asynccontextmanager
async def silencing_proxy(target: str) -> AsyncIterator[SilencingProxy]:
    """Serve on loopback during the block."""
    proxy = SilencingProxy(target)
    async with loopback_server(proxy.serve) as proxy.address:
        try:
            yield proxy
        finally:
            proxy.abort_all()
