"""Serves an aiohttp application on a listening address."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from typing import Protocol
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_log = structlog.get_logger(__name__)
_BACKLOG_COUNT = 128
# Another process has the address, or the host does not have it yet.
_UNAVAILABLE_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
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
    app: web.Application,
    listen: Address,
    *,
    shutdown_timeout_s: float,
    bind_retry_s: float | None = None,
) -> AsyncIterator[Listener]:
    """Serve an application during the block.

    At the end of the block, running requests may finish within
    ``shutdown_timeout_s`` seconds; handlers that then ignore their
    cancellation are given the same time once more.

    :param bind_retry_s: pause between two tries to bind the address while it
        is not available; None to fail at the first one.
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    try:
        listener_socket = await _bound_socket(listen, bind_retry_s)
    except BaseException:
        await runner.cleanup()
        raise
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
    app: web.Application,
    listen: Address,
    *,
    shutdown_timeout_s: float,
    bind_retry_s: float | None = None,
) -> AsyncIterator[int]:
    """Serve an application as :func:`listening` does; yield the port."""
    async with listening(
        app,
        listen,
        shutdown_timeout_s=shutdown_timeout_s,
        bind_retry_s=bind_retry_s,
    ) as listener:
        yield listener.port


async def _bound_socket(
    listen: Address, retry_s: float | None
) -> socket.socket:
    """Return a listening socket, once the address is available.

    :param retry_s: pause between two tries; None to fail at the first one.
    :raises OSError: the address can't be bound.
    """
    is_delayed = False
    while True:
        try:
            created = socket.create_server(
                (listen.ip, listen.port), backlog=_BACKLOG_COUNT
            )
        except OSError as error:
            if retry_s is None or error.errno not in _UNAVAILABLE_ERRORS:
                raise
            if not is_delayed:
                is_delayed = True
                _log.warning(
                    'address_not_available',
                    address=f'{listen.ip}:{listen.port}',
                    error=str(error),
                )
            await asyncio.sleep(retry_s)
        else:
            break
    if is_delayed:
        _log.info('address_bound', address=f'{listen.ip}:{listen.port}')
    created.setblocking(False)
    return created


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
