"""HTTP sessions for outgoing calls."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from dogwoodpost.platform.connection_counts import ConnectionCounts

# Endpoints end idle connections earlier or later; a request that finds its
# connection ended is repeated.
_POOL_KEEPALIVE_S = 12.0


class CleanConnector(aiohttp.TCPConnector):
    """Leaves out idle connections on which bytes have come.

    They belong to no request, and the library would take them for the
    response to the next one.
    """

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        connection = await super()._get(key, traces)
        while connection is not None and _is_dirty(connection):
            connection.close()
            connection = await super()._get(key, traces)
        return connection


def _is_dirty(connection: Connection) -> bool:
    return connection.protocol is None or connection.protocol.should_close


@asynccontextmanager
async def http_session(
    counts: ConnectionCounts, *, reuse: bool
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session.

    :param reuse: keep connections for later calls.
    """
    connector = (
        CleanConnector(limit=0, keepalive_timeout=_POOL_KEEPALIVE_S)
        if reuse
        else aiohttp.TCPConnector(limit=0, force_close=True)
    )
    async with aiohttp.ClientSession(
        connector=connector,
        trace_configs=[counts.trace(reuse=reuse)],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        yield session
