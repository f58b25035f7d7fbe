"""HTTP sessions for outgoing calls."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Endpoints end idle connections earlier or later; a request that finds its
# connection ended is repeated.
_POOL_KEEPALIVE_S = 12.0


@asynccontextmanager
async def http_session(*, reuse: bool) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session.

    :param reuse: keep connections for later calls.
    """
    connector = (
        aiohttp.TCPConnector(limit=0, keepalive_timeout=_POOL_KEEPALIVE_S)
        if reuse
        else aiohttp.TCPConnector(limit=0, force_close=True)
    )
    async with aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        yield session
