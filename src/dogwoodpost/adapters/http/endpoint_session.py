"""HTTP session for calls to endpoints."""

from __future__ import annotations

import aiohttp


def endpoint_session() -> aiohttp.ClientSession:
    """Return a session for the endpoints of one agent.

    The agent limits concurrency per endpoint, so the connector does not. The
    session stores no cookies, because all callers share it.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        # Requests and responses are forwarded unchanged.
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Content-Type'),
    )
