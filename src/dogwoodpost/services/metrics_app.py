"""Serves metrics, health and readiness over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.observability import Metrics

_METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def create_metrics_app(
    metrics: Metrics, is_ready: Callable[[], bool]
) -> web.Application:
    """Return an application with /metrics, /healthz and /readyz."""

    async def serve_metrics(_request: web.Request) -> web.Response:
        return web.Response(
            body=metrics.render(),
            headers={'Content-Type': _METRICS_CONTENT_TYPE},
        )

    async def serve_health(_request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def serve_readiness(_request: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    app = web.Application()
    app.router.add_get('/metrics', serve_metrics)
    app.router.add_get('/healthz', serve_health)
    app.router.add_get('/readyz', serve_readiness)
    return app
