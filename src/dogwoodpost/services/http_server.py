"""Serves an aiohttp application on a listening address."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


# Requests on connections that were accepted last are read in this time.
_LAST_REQUESTS_S = 0.1


class Address(Protocol):
    """Where to listen; port 0 takes any free one."""

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
    """Serve during the block; yields the port.

    At the end of the block the socket is closed, then running requests may
    finish within the time limit. Connections that were just accepted count as
    idle for the library, which would close them before their request is read.
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    site = web.TCPSite(runner, listen.ip, listen.port)
    try:
        await site.start()
        port: int = runner.addresses[0][1]
        yield port
        await site.stop()
        await asyncio.sleep(_LAST_REQUESTS_S)
    finally:
        await runner.cleanup()
