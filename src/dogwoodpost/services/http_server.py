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


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, listen: Address, *, shutdown_timeout_s: float
) -> AsyncIterator[int]:
    """Serve an application during the block and yield the port.

    At the end of the block the listening socket is closed, then running
    requests may finish within ``shutdown_timeout_s`` seconds. A short delay
    comes between the two: aiohttp takes connections that were just accepted
    for idle and would close them before it reads their first request.
    Connections that only the kernel has accepted would be reset when the
    socket closes, so they are taken over first.
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    listener = socket.create_server(
        (listen.ip, listen.port), backlog=_BACKLOG_COUNT
    )
    listener.setblocking(False)
    site = web.SockSite(runner, listener, backlog=_BACKLOG_COUNT)
    try:
        await site.start()
        port: int = listener.getsockname()[1]
        yield port
        # Nothing may be awaited between these two steps.
        queued = _accept_queued(listener)
        await site.stop()
        await _serve_connections(runner, queued)
        await asyncio.sleep(_PENDING_REQUEST_DELAY_S)
    finally:
        await runner.cleanup()
        listener.close()


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
