"""Middleware around the handling of every request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.http.active_requests import ActiveRequest
from dogwoodpost.services.entry.http.error_body import error_response
from dogwoodpost.services.entry.http.request_reader import REQUEST_ID_HEADER
from dogwoodpost.services.entry.refusals import count_refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.http.active_requests import ActiveRequests
    from dogwoodpost.services.entry.http.lifecycle import Lifecycle

_ACTIVE_REQUEST = web.RequestKey('active_request', ActiveRequest)
_NO_ROUTE_LABEL = 'none'
_log = structlog.get_logger(__name__)


class RequestMiddleware:
    """Tracks requests, converts errors into responses, and counts both.

    :param max_header_bytes: limit on the path and all headers together.
    :param render_error: returns the response for an error.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        active_requests: ActiveRequests,
        metrics: Metrics,
        clock: Clock,
        *,
        max_header_bytes: int,
        render_error: Callable[[RequestError], web.Response] = error_response,
    ) -> None:
        self._lifecycle = lifecycle
        self._active_requests = active_requests
        self._metrics = metrics
        self._clock = clock
        self._max_header_bytes = max_header_bytes
        self._render_error = render_error

    def aiohttp_middleware(
        self,
    ) -> Callable[..., Awaitable[web.StreamResponse]]:
        """Return the function to add to an application's middlewares."""

        @web.middleware
        async def handle_request(
            request: web.Request,
            handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        ) -> web.StreamResponse:
            return await self._handle(request, handler)

        return handle_request

    @staticmethod
    def active_request(request: web.Request) -> ActiveRequest:
        """Return the tracked state of a request that is being handled."""
        return request[_ACTIVE_REQUEST]

    def wrap_handler(
        self,
        handle: Callable[
            [web.Request, ActiveRequest], Awaitable[web.StreamResponse]
        ],
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return an aiohttp handler that also passes the tracked state.

        :param handle: takes the request and its tracked state.
        """

        async def handler(request: web.Request) -> web.StreamResponse:
            return await handle(request, self.active_request(request))

        return handler

    async def _handle(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        start_s = self._clock.monotonic_s()
        with self._active_requests.track() as active:
            request[_ACTIVE_REQUEST] = active
            try:
                response = await self._call_handler(request, handler, active)
            except RequestError as error:
                response = self._error_response(error, active, start_s)
            except (ConnectionError, web.HTTPException):
                raise
            except Exception:
                _log.exception('request_failed', route=active.route_name)
                internal = RequestError(
                    'internal_error', 'internal error', status=500
                )
                response = self._error_response(internal, active, start_s)
            self._record_metrics(active, response, start_s)
            return response

    async def _call_handler(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
        active: ActiveRequest,
    ) -> web.StreamResponse:
        with self._lifecycle.track_request(), active.cancellation_as_error():
            self._check_head_size(request)
            return await handler(request)

    def _error_response(
        self, error: RequestError, active: ActiveRequest, start_s: float
    ) -> web.Response:
        count_refusal(self._metrics, error)
        duration_s = self._clock.monotonic_s() - start_s
        _log.info(
            'request_refused' if error.not_run else 'request_not_served',
            request_id=active.request_id,
            route=active.route_name,
            code=error.code,
            status=error.status,
            not_run=error.not_run,
            retry_after_s=error.retry_after_s,
            duration_ms=round(duration_s * 1_000, 1),
            error=str(error),
        )
        response = self._render_error(error)
        if active.request_id:
            response.headers[REQUEST_ID_HEADER] = active.request_id
        return response

    def _check_head_size(self, request: web.Request) -> None:
        size_bytes = len(request.raw_path) + sum(
            len(name) + len(value) for name, value in request.raw_headers
        )
        if size_bytes > self._max_header_bytes:
            raise RequestError(
                'headers_too_large',
                f'the head is larger than {self._max_header_bytes} bytes',
                status=431,
                not_run=True,
            )

    def _record_metrics(
        self,
        active: ActiveRequest,
        response: web.StreamResponse,
        start_s: float,
    ) -> None:
        route_name = active.route_name or _NO_ROUTE_LABEL
        self._metrics.requests.labels(route_name, str(response.status)).inc()
        self._metrics.observe('request', self._clock.monotonic_s() - start_s)
