"""Serves an aiohttp application on a listening address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    site = web.TCPSite(runner, listen.ip, listen.port)
    try:
        await site.start()
        port: int = runner.addresses[0][1]
        yield port
        await site.stop()
        await asyncio.sleep(_PENDING_REQUEST_DELAY_S)
    finally:
        await runner.cleanup()
