"""HTTP session for calls to the platform's services."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.pooled_connector import PooledConnector

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.config.settings import PlatformSettings
    from dogwoodpost.observability import Metrics

# Bounds the number of sockets that a slow store can occupy in one process.
CONNECTION_LIMIT = 32


@asynccontextmanager
async def platform_session(
    settings: PlatformSettings, metrics: Metrics
) -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session with the platform's token and time-out."""
    headers = {}
    if settings.token is not None:
        headers['Authorization'] = (
            f'Bearer {settings.token.get_secret_value()}'
        )
    session = aiohttp.ClientSession(
        connector=PooledConnector(metrics, limit=CONNECTION_LIMIT),
        timeout=aiohttp.ClientTimeout(total=settings.timeout_ms / 1000),
        headers=headers,
    )
    async with session:
        yield session
