"""Serves an aiohttp application on a listening address."""

from __future__ import annotations

import contextlib
from typing import Protocol
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


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
    finish within the time limit.
    """
    runner = web.AppRunner(app, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    try:
        await web.TCPSite(runner, listen.ip, listen.port).start()
        port: int = runner.addresses[0][1]
        yield port
    finally:
        await runner.cleanup()
