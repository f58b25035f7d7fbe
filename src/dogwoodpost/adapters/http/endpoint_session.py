"""HTTP session for calls to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.pooled_connector import PooledConnector

if TYPE_CHECKING:
    from dogwoodpost.observability import Metrics


def endpoint_session(metrics: Metrics) -> aiohttp.ClientSession:
    """Return a session for the endpoints of one agent.

    The agent limits concurrency per endpoint, so the connector does not. The
    session stores no cookies, because all callers share it.
    """
    return aiohttp.ClientSession(
        connector=PooledConnector(metrics),
        cookie_jar=aiohttp.DummyCookieJar(),
        # Requests and responses are forwarded unchanged.
        auto_decompress=False,
        skip_auto_headers=('User-Agent', 'Accept-Encoding', 'Content-Type'),
    )
