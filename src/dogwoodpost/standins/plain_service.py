"""Stand-in for a plain service."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.standins.engine.request_counters import SecretDetector

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BODY_BYTES = 64 * 1024 * 1024
_SENSITIVE_HEADERS = frozenset(
    {'authorization', 'cookie', 'proxy-authorization'}
)


class PlainServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the plain service.

    ``known_secrets`` are callers' keys that must not be forwarded to it.
    """

    known_secrets: tuple[str, ...] = ()


class EchoDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Response body: the request as the service received it."""

    method: str
    path: str
    raw_path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: str


class PlainService:
    """Echoes requests and counts them."""

    def __init__(self, settings: PlainServiceSettings) -> None:
        self._detector = SecretDetector(settings.known_secrets)
        self._executions: Counter[str] = Counter()
        self._secret_count = 0
        self._running_count = 0

    async def echo(self, request: web.Request) -> web.StreamResponse:
        """Echo a request to any path."""
        async with _Execution(self, request):
            return await self._document(request)

    async def slow(self, request: web.Request) -> web.StreamResponse:
        """Serve ``/slow/{ms}``: echo after a delay in milliseconds."""
        async with _Execution(self, request):
            await asyncio.sleep(int(request.match_info['ms']) / 1000)
            return await self._document(request)

    async def drop(self, request: web.Request) -> web.StreamResponse:
        """Serve ``/drop``: run the request and abort the connection."""
        async with _Execution(self, request):
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)

    async def unknown(self, request: web.Request) -> web.StreamResponse:
        """Refuse the control paths that only engines serve."""
        del request
        raise web.HTTPNotFound

    async def load(self, request: web.Request) -> web.StreamResponse:
        """Serve ``GET /control/load``."""
        del request
        return _json(
            {'running_count': self._running_count, 'waiting_count': 0}
        )

    async def counters(self, request: web.Request) -> web.StreamResponse:
        """Serve ``GET /control/counters``."""
        del request
        return _json(
            {
                'secret_count': self._secret_count,
                'started_count': self._executions.total(),
                'executions': self._executions,
            }
        )

    async def begin(self, request: web.Request) -> None:
        """Count a request that starts to execute."""
        if self._detector.finds_secret(
            request.raw_path, request.headers.items(), await request.read()
        ):
            self._secret_count += 1
        self._executions[request.headers.get('X-Request-Id', '')] += 1
        self._running_count += 1

    def end(self) -> None:
        """Count a request that has ended."""
        self._running_count -= 1

    async def _document(self, request: web.Request) -> web.Response:
        body = await request.read()
        return _json(
            EchoDocument(
                method=request.method,
                path=request.path,
                raw_path=request.raw_path,
                query=request.rel_url.raw_query_string,
                headers=_without_sensitive_headers(request.headers.items()),
                body=body.decode('utf-8', 'replace'),
            )
        )


STATE = web.AppKey('state', PlainService)


class _Execution:
    """Context manager that counts a request while it executes."""

    def __init__(self, service: PlainService, request: web.Request) -> None:
        self._service = service
        self._request = request

    async def __aenter__(self) -> None:
        await self._service.begin(self._request)

    async def __aexit__(self, *error: object) -> None:
        self._service.end()


def create_app(
    settings: PlainServiceSettings | None = None,
) -> web.Application:
    """Return an application that serves one plain service."""
    service = PlainService(settings or PlainServiceSettings())
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[STATE] = service
    app.router.add_get('/control/load', service.load)
    app.router.add_get('/control/counters', service.counters)
    # Plain services support no orders; the echo route would answer them
    # with 200, which looks like a success.
    app.router.add_route('*', '/control/{path:.*}', service.unknown)
    app.router.add_route('*', r'/{prefix:.*}slow/{ms:\d+}', service.slow)
    app.router.add_route('*', '/drop', service.drop)
    app.router.add_route('*', '/{path:.*}', service.echo)
    return app


def _without_sensitive_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (str(name), value)
        for name, value in headers
        if name.lower() not in _SENSITIVE_HEADERS
    )


def _json(document: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document), content_type='application/json'
    )
