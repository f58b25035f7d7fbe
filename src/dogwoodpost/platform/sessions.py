"""HTTP sessions for outgoing calls."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import yarl

from dogwoodpost.adapters.http.send_once import send_once
from dogwoodpost.platform.bounded_protocol import BoundedResponseHandler
from dogwoodpost.platform.guarded_calls import create_guarded_socket

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from dogwoodpost.platform.connection_counts import ConnectionCounts

# Endpoints close idle connections earlier or later; a request that fails
# because its connection was closed is repeated.
_POOL_KEEPALIVE_S = 12.0


class BoundedProtocolConnector(aiohttp.TCPConnector):
    """Opens connections that limit interim responses.

    :param keepalive_s: how long to keep idle connections; None closes each
        connection after its request.
    :param socket_factory: creates the sockets of connections that are not
        kept.
    """

    def __init__(
        self,
        *,
        keepalive_s: float | None = None,
        socket_factory: Callable[[Any], socket.socket] | None = None,
    ) -> None:
        if keepalive_s is None:
            super().__init__(
                limit=0, force_close=True, socket_factory=socket_factory
            )
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive_s)
        handler: type[ResponseHandler] = BoundedResponseHandler
        self._factory = partial(handler, loop=asyncio.get_running_loop())


class PooledConnector(BoundedProtocolConnector):
    """Discards idle connections that have received bytes.

    Such bytes belong to no request, and aiohttp would take them for the
    response to the next one.
    """

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        connection = await super()._get(key, traces)
        while connection is not None and _is_unusable(connection):
            connection.close()
            connection = await super()._get(key, traces)
        return connection


def _is_unusable(connection: Connection) -> bool:
    """Return whether a connection is closed or has unread bytes."""
    return connection.protocol is None or connection.protocol.should_close


@asynccontextmanager
async def http_session(
    counts: ConnectionCounts, *, reuse: bool
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session and count its new connections.

    No request is sent twice, except for calls with ``MAY_REPEAT``.

    :param reuse: keep connections for later calls.
    """
    connector = (
        PooledConnector(keepalive_s=_POOL_KEEPALIVE_S)
        if reuse
        else BoundedProtocolConnector()
    )
    async with _session(connector, counts, reuse=reuse) as session:
        yield session


@asynccontextmanager
async def guarded_session(
    counts: ConnectionCounts,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session for calls under a lease; see ``guarded_calls``."""
    connector = BoundedProtocolConnector(socket_factory=create_guarded_socket)
    async with _session(connector, counts, reuse=False) as session:
        yield session


def unchanged_url(address: str, target: str) -> yarl.URL:
    """Return a URL whose requests have exactly a target.

    A parsed URL would lose an empty query, and whatever follows a hash sign.

    :param target: path and query of the request line.
    """
    return yarl.URL.build(
        scheme='http', authority=address, path=target, encoded=True
    )


def _session(
    connector: aiohttp.TCPConnector, counts: ConnectionCounts, *, reuse: bool
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=[counts.trace_config(reuse=reuse)],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
    )
