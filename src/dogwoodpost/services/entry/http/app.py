"""The aiohttp application of an entry."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.services.entry.http.active_requests import ActiveRequests
from dogwoodpost.services.entry.http.authentication import Authenticator
from dogwoodpost.services.entry.http.lifecycle import Lifecycle
from dogwoodpost.services.entry.http.request_handler import RequestHandler
from dogwoodpost.services.entry.http.request_middleware import (
    RequestMiddleware,
)
from dogwoodpost.services.entry.http.request_reader import RequestReader

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.core import ids
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline

ACTIVE_REQUESTS = web.AppKey('active_requests', ActiveRequests)
LIFECYCLE = web.AppKey('lifecycle', Lifecycle)
_AUTHENTICATOR = web.AppKey('authenticator', Authenticator)

# This timeout also closes connections that have not sent a complete request
# head.
_KEEPALIVE_TIMEOUT_S = 75.0
# After a refusal the rest of the request body is read for this long, so that
# the caller receives the response.
_LINGERING_TIME_S = 2.0
_MAX_HEADER_COUNT = 128


def create_app(
    pipeline: RequestPipeline,
    configuration: ConfigurationSource,
    metrics: Metrics,
    settings: EntrySettings,
) -> web.Application:
    """Return the application; more routes may be added to it.

    Added routes take precedence over those of the configuration. Their errors
    have the same format, and they refuse requests during a stop. If they call
    :func:`authenticate`, their requests also end when the key stops being
    valid.
    """
    lifecycle = Lifecycle()
    active_requests = ActiveRequests(configuration, pipeline.clock)
    authenticator = Authenticator(configuration)
    middleware = RequestMiddleware(
        lifecycle,
        active_requests,
        metrics,
        pipeline.clock,
        max_header_bytes=settings.max_header_bytes,
    )
    app = web.Application(
        middlewares=[middleware.aiohttp_middleware()],
        handler_args={
            'handler_cancellation': True,
            'auto_decompress': False,
            'keepalive_timeout': _KEEPALIVE_TIMEOUT_S,
            'lingering_time': _LINGERING_TIME_S,
            'max_line_size': settings.max_header_bytes,
            'max_field_size': settings.max_header_bytes,
            'max_headers': _MAX_HEADER_COUNT,
            'access_log': None,
        },
    )
    app[LIFECYCLE] = lifecycle
    app[ACTIVE_REQUESTS] = active_requests
    app[_AUTHENTICATOR] = authenticator
    reader = RequestReader(configuration, authenticator, settings)
    handler = RequestHandler(pipeline, reader)
    app.router.add_route(
        '*', '/{path:.*}', middleware.wrap_handler(handler.handle)
    )
    app.cleanup_ctx.append(_watch_freshness)
    app.on_shutdown.append(_begin_stop)
    return app


def authenticate(request: web.Request) -> ids.ClientAccountId:
    """Return the client account that the key of a request belongs to.

    The request fails with an error when the key stops being valid.

    :raises RequestError: the key is missing or invalid, its client account
        is disabled, or the configuration is stale.
    """
    identity = request.app[_AUTHENTICATOR].identify(request)
    RequestMiddleware.active_request(request).identity = identity
    return identity.client_account_id


async def _watch_freshness(app: web.Application) -> AsyncIterator[None]:
    task = asyncio.create_task(app[ACTIVE_REQUESTS].watch_freshness())
    yield
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


async def _begin_stop(app: web.Application) -> None:
    app[LIFECYCLE].begin_stop()
