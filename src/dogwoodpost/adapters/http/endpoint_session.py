"""HTTP session towards endpoints."""

from __future__ import annotations

import aiohttp


def endpoint_session() -> aiohttp.ClientSession:
    """Return a session for the endpoints of one agent.

    The agent bounds concurrency per endpoint, so the connector does not. No
    cookies are kept, because callers share the session.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
        # Requests and responses pass as they are.
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Content-Type'),
    )
