"""HTTP sessions for outgoing calls."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import yarl

from dogwoodpost.adapters.http.bounded_connector import (
    BoundedProtocolConnector,
)
from dogwoodpost.adapters.http.pooled_connector import PooledConnector
from dogwoodpost.adapters.http.send_once import send_once
from dogwoodpost.platform.guarded_calls import create_guarded_socket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.platform.connection_counts import ConnectionCounts


@asynccontextmanager
async def http_session(
    counts: ConnectionCounts, *, reuse: bool
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session and count its new connections.

    No request is sent twice, except for calls with ``MAY_REPEAT``.

    :param reuse: keep connections for later calls.
    """
    connector = (
        PooledConnector(counts.metrics)
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
