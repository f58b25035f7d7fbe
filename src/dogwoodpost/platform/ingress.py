"""HTTP applications for clients and for the platform's load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.core.configuration import RouteKind
from dogwoodpost.platform import header_names
from dogwoodpost.platform.batch_calls import BatchCalls
from dogwoodpost.platform.request_reader import PlatformRequestReader
from dogwoodpost.services.entry.http.active_requests import ActiveRequests
from dogwoodpost.services.entry.http.authentication import Authenticator
from dogwoodpost.services.entry.http.error_body import error_response
from dogwoodpost.services.entry.http.request_handler import RequestHandler
from dogwoodpost.services.entry.http.request_middleware import (
    RequestMiddleware,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from dogwoodpost.core.memory_budget import MemoryBudget
    from dogwoodpost.errors import RequestError
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.batches.batch_service import BatchService
    from dogwoodpost.services.entry.http.active_requests import ActiveRequest
    from dogwoodpost.services.entry.http.lifecycle import Lifecycle
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.route_finder import RouteFinder

_MAX_HEADER_BYTES = 64 * 1024
_MAX_HEADER_COUNT = 256
# Clients reuse a connection for most of the configured idle time, which may
# change at any time. The timeout is long, so that the client closes idle
# connections and not the server.
_KEEPALIVE_TIMEOUT_S = 300.0
_LINGERING_TIME_S = 2.0
# Responses with these statuses promise that the request has not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
# Responses with these statuses leave open whether the request has run, so a
# client could not send it again.
_UNKNOWN_OUTCOME_STATUSES = frozenset({502, 504})


class Ingress:
    """Serves clients' requests and the batch job API.

    :param body_memory: memory that request bodies may use.
    """

    def __init__(
        self,
        *,
        pipeline: RequestPipeline,
        batches: BatchService,
        configuration: ConfigurationSource,
        routes: RouteFinder,
        lifecycle: Lifecycle,
        metrics: Metrics,
        body_memory: MemoryBudget,
    ) -> None:
        self._lifecycle = lifecycle
        self._authenticator = Authenticator(configuration)
        self._reader = PlatformRequestReader(
            routes,
            self._authenticator,
            lifecycle,
            pipeline.clock,
            body_memory,
        )
        self._handler = RequestHandler(
            pipeline, self._reader, ends_streams_with_error=False
        )
        self._batch_calls = BatchCalls(
            self._reader, self._authenticator, batches, pipeline.clock
        )
        self.active_requests = ActiveRequests(configuration, pipeline.clock)
        self._middleware = RequestMiddleware(
            lifecycle,
            self.active_requests,
            metrics,
            pipeline.clock,
            max_header_bytes=_MAX_HEADER_BYTES,
            render_error=_error_response,
        )
        self.closes_connections = False

    def app(self) -> web.Application:
        """Return the application for the clients' address."""
        app = web.Application(
            middlewares=[self._middleware.aiohttp_middleware()],
            handler_args={
                'handler_cancellation': True,
                'auto_decompress': False,
                'keepalive_timeout': _KEEPALIVE_TIMEOUT_S,
                'lingering_time': _LINGERING_TIME_S,
                'max_line_size': _MAX_HEADER_BYTES,
                'max_field_size': _MAX_HEADER_BYTES,
                'max_headers': _MAX_HEADER_COUNT,
                'access_log': None,
            },
        )
        wrap = self._middleware.wrap_handler
        batch_calls = self._batch_calls
        add = app.router.add_route
        add('GET', '/api/lots/{job_id}', wrap(batch_calls.results))
        add('DELETE', '/api/lots/{job_id}', wrap(batch_calls.end))
        add('GET', '/api/items/{job_id}', wrap(batch_calls.item_body))
        add('*', '/{path:.*}', wrap(self._handle))
        app.on_response_prepare.append(self._on_prepare)
        return app

    async def _handle(
        self, request: web.Request, active: ActiveRequest
    ) -> web.StreamResponse:
        active.request_id = request.headers.get(header_names.REQUEST_ID, '')
        route = self._reader.route(request)
        if route.kind is RouteKind.BATCH and request.method == 'POST':
            return await self._batch_calls.submit(request, active, route)
        return await self._handler.handle(request, active)

    async def _on_prepare(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Ask clients to close their connections during a stop."""
        if self.closes_connections:
            response.headers['Connection'] = 'close'
            response.force_close()


def readiness_app(
    is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]
) -> web.Application:
    """Return the application for readiness checks and metrics.

    :param is_ready: returns whether the load balancer may send clients here.
    :param render_metrics: returns the metrics in their text format.
    """

    async def serve_readiness(_request: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    async def serve_metrics(_request: web.Request) -> web.Response:
        return web.Response(body=render_metrics(), content_type='text/plain')

    app = web.Application(handler_args={'access_log': None})
    _add_get(app, '/api/readyz', serve_readiness)
    _add_get(app, '/metrics', serve_metrics)
    return app


def _add_get(
    app: web.Application,
    path: str,
    handler: Callable[[web.Request], Awaitable[web.Response]],
) -> None:
    app.router.add_get(path, handler)


def _error_response(error: RequestError) -> web.Response:
    """Return an error response whose status fits whether the request has run.

    A status that promises that the request has not run is replaced if it may
    have run, and a status that leaves this open if it has not run.
    """
    response = error_response(error)
    if error.status in _NOT_RUN_STATUSES and not error.not_run:
        response.set_status(_BAD_GATEWAY)
    elif error.status in _UNKNOWN_OUTCOME_STATUSES and error.not_run:
        response.set_status(_SERVICE_UNAVAILABLE)
    if error.retry_after_s is not None:
        response.headers['Retry-After'] = f'{error.retry_after_s:.3f}'
    return response
