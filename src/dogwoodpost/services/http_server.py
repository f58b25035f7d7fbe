"""Serves an aiohttp application on a listening address."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Protocol
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_log = structlog.get_logger(__name__)
_BACKLOG_COUNT = 128
# Time for the first requests on connections accepted just before the stop.
_PENDING_REQUEST_DELAY_S = 0.1


class Address(Protocol):
    """Address to listen on; port 0 selects any free port."""

    @property
    def ip(self) -> str:
        """Return the IP address."""

    @property
    def port(self) -> int:
        """Return the port."""


class Listener:
    """Accepts connections for an application.

    :param runner: the application, which is set up.
    :param listener: the listening socket.
    """

    def __init__(self, runner: web.AppRunner, listener: socket.socket) -> None:
        self._runner = runner
        self._listener = listener
        self._site = web.SockSite(runner, listener, backlog=_BACKLOG_COUNT)
        self._is_accepting = False

    @property
    def port(self) -> int:
        """Return the port."""
        port: int = self._listener.getsockname()[1]
        return port

    async def start(self) -> None:
        """Begin to accept connections."""
        await self._site.start()
        self._is_accepting = True

    async def stop(self) -> None:
        """Accept no more connections; those that are open stay open.

        Connections that only the kernel has accepted would be reset when the
        socket closes, so they are taken over first. At the end, all of them
        have had time for their first request: aiohttp takes connections that
        were just accepted for idle, and would close them before it reads it.
        """
        if not self._is_accepting:
            return
        self._is_accepting = False
        # Nothing may be awaited between these two steps.
        queued = _accept_queued(self._listener)
        await self._site.stop()
        await _serve_connections(self._runner, queued)
        await asyncio.sleep(_PENDING_REQUEST_DELAY_S)


@contextlib.asynccontextmanager
async def listening(
    app: web.Application, listen: Address, *, shutdown_timeout_s: float
) -> AsyncIterator[Listener]:
    """Serve an application during the block.

    At the end of the block, running requests may finish within
    ``shutdown_timeout_s`` seconds; handlers that then ignore their
    cancellation are given the same time once more.
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    listener_socket = socket.create_server(
        (listen.ip, listen.port), backlog=_BACKLOG_COUNT
    )
    listener_socket.setblocking(False)
    listener = Listener(runner, listener_socket)
    try:
        await listener.start()
        yield listener
        await listener.stop()
    finally:
        await runner.cleanup()
        listener_socket.close()


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, listen: Address, *, shutdown_timeout_s: float
) -> AsyncIterator[int]:
    """Serve an application as :func:`listening` does; yield the port."""
    async with listening(
        app, listen, shutdown_timeout_s=shutdown_timeout_s
    ) as listener:
        yield listener.port


def _accept_queued(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait in the kernel's queue."""
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return accepted
        except ConnectionAbortedError:
            continue
        except OSError as error:
            # Too many open files, for example; the rest is reset.
            _log.warning('queued_connection_not_accepted', error=str(error))
            return accepted
        accepted.append(connection)


async def _serve_connections(
    runner: web.AppRunner, connections: list[socket.socket]
) -> None:
    loop = asyncio.get_running_loop()
    server = runner.server
    if server is None:
        raise RuntimeError('the runner is not set up')
    for connection in connections:
        connection.setblocking(False)
        await loop.connect_accepted_socket(server, connection)
