"""Serves metrics, health and readiness over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.config import ListenAddress
    from dogwoodpost.observability import Metrics

_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class MetricsServer(mode.Service):
    """HTTP server with ``/metrics``, ``/healthz`` and ``/readyz``."""

    def __init__(
        self,
        listen: ListenAddress,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        super().__init__()
        self.port = listen.port
        self._listen = listen
        self._metrics = metrics
        self._is_ready = is_ready
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket."""
        app = web.Application()
        app.router.add_get('/metrics', self._serve_metrics)
        app.router.add_get('/healthz', self._serve_health)
        app.router.add_get('/readyz', self._serve_readiness)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._listen.ip, self._listen.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the listening socket."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics.render(),
            headers={'Content-Type': _METRICS_CONTENT_TYPE},
        )

    async def _serve_health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _serve_readiness(self, _request: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')
