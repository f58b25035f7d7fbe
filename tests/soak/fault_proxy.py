"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_BUFFER_BYTES = 64 * 1024
_DELAY_S = 0.15


class Harm(Enum):
    """What happens to the bytes of all connections."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    NO_ANSWERS = 'no_answers'
    RESET = 'reset'


class FaultProxy:
    """Passes connections on to one address, unless it is told to harm them.

    Silenced bytes are lost for good, so that their connections stay silent
    after the harm has ended, as behind a partition.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._harm = Harm.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[FaultProxy]:
        """Listen on a free port of the loopback interface."""
        server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        try:
            yield self
        finally:
            server.close()
            self._abort_all()

    def harm(self, harm: Harm) -> None:
        """Harm all connections from now on; ``NONE`` ends it."""
        self._harm = harm
        if harm is Harm.RESET:
            self._abort_all()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, False))
                group.create_task(self._pump(far_reader, writer, True))
        except* OSError:
            # One side has gone; the other one is told below.
            pass
        finally:
            self._writers -= {writer, far_writer}
            for one in (writer, far_writer):
                one.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        is_silent = False
        while data := await reader.read(_BUFFER_BYTES):
            is_silent = is_silent or self._loses(is_answer)
            if is_silent:
                continue
            if self._harm is Harm.DELAYED:
                await asyncio.sleep(_DELAY_S)
            writer.write(data)
            await writer.drain()
        if not is_silent:
            with suppress(OSError, RuntimeError):
                writer.write_eof()

    def _loses(self, is_answer: bool) -> bool:
        if self._harm is Harm.NO_ANSWERS:
            return is_answer
        return self._harm is Harm.SILENT

    def _abort_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
