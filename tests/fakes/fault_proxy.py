"""A loopback proxy that injects faults into its connections."""

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
    """Fault that the proxy applies to the bytes of all connections."""

    NONE = 'none'
    DELAYED = 'delayed'
    SILENT = 'silent'
    NO_ANSWERS = 'no_answers'
    RESET = 'reset'


class _Connection:
    """Both ends of a forwarded connection.

    ``is_silent`` is true once it forwards nothing more.
    """

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self._writers = writers
        self.is_silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to one address and injects faults on request.

    Bytes that are dropped are not sent later. A connection that has lost
    bytes forwards nothing more, also after the fault has ended, as after a
    network partition.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._harm = Harm.NONE
        self._connections: set[_Connection] = set()
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

    def set_harm(self, harm: Harm) -> None:
        """Apply a fault to all connections; ``NONE`` ends the fault."""
        self._harm = harm
        if harm is Harm.RESET:
            self._abort_all()

    @property
    def open_count(self) -> int:
        """Return the number of connections that forward bytes."""
        return sum(not one.is_silent for one in self._connections)

    def silence_open(self) -> int:
        """Let the open connections forward nothing more; new ones do.

        :returns: number of connections that still worked.
        """
        working = [one for one in self._connections if not one.is_silent]
        for connection in working:
            connection.is_silent = True
        return len(working)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, target_writer)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(connection, reader, target_writer, False)
                )
                group.create_task(
                    self._forward(connection, target_reader, writer, True)
                )
        except* OSError:
            # One side has closed; the other connection is aborted below.
            pass
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        is_dropping = False
        while data := await reader.read(_BUFFER_BYTES):
            is_dropping = (
                is_dropping
                or connection.is_silent
                or self._drops_bytes(is_response)
            )
            if is_dropping:
                continue
            if self._harm is Harm.DELAYED:
                await asyncio.sleep(_DELAY_S)
            writer.write(data)
            await writer.drain()
        if not is_dropping and not connection.is_silent:
            with suppress(OSError, RuntimeError):
                writer.write_eof()

    def _drops_bytes(self, is_response: bool) -> bool:
        if self._harm is Harm.NO_ANSWERS:
            return is_response
        return self._harm is Harm.SILENT

    def _abort_all(self) -> None:
        for connection in self._connections:
            connection.abort()
