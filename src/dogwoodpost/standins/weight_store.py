"""Stand-in for the platform's weight store."""

from __future__ import annotations

import asyncio

from aiohttp import web

from dogwoodpost.core.weights import TokenBucket


class WeightStoreState:
    """Weight versions by model, the rate limit and injected faults.

    ``failing_count`` is the number of next calls that fail, ``cut_count``
    the number of next downloads whose connection closes half-way.

    :param rate_per_s: downloads per second that the rate limit allows.
    :param burst: downloads that may exceed the rate at once.
    """

    def __init__(
        self, *, rate_per_s: float = 10.0, burst: float = 4.0
    ) -> None:
        self.versions: dict[str, dict[int, bytes]] = {}
        self.fetch_count = 0
        self.failing_count = 0
        self.cut_count = 0
        self.bucket = TokenBucket(rate_per_s, burst)

    def announce(self, model: str, version: int, data: bytes) -> None:
        """Publish a weight version of a model."""
        self.versions.setdefault(model, {})[version] = data


STATE = web.AppKey('state', WeightStoreState)


def create_app(state: WeightStoreState | None = None) -> web.Application:
    """Return an application that serves the weight store."""
    app = web.Application()
    app[STATE] = state or WeightStoreState()
    app.router.add_get('/weights/{model}/latest', _latest)
    app.router.add_get(r'/weights/{model}/{version:\d+}', _fetch)
    app.router.add_put(r'/weights/{model}/{version:\d+}', _announce)
    return app


async def _latest(request: web.Request) -> web.Response:
    state = request.app[STATE]
    _raise_injected_failure(state)
    versions = state.versions.get(request.match_info['model'])
    if not versions:
        raise web.HTTPNotFound
    return web.json_response({'version': max(versions)})


async def _fetch(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    _raise_injected_failure(state)
    now_s = asyncio.get_running_loop().time()
    if not state.bucket.take(now_s):
        raise web.HTTPTooManyRequests(headers={'Retry-After': '1'})
    state.fetch_count += 1
    versions = state.versions.get(request.match_info['model'], {})
    data = versions.get(int(request.match_info['version']))
    if data is None:
        raise web.HTTPNotFound
    if state.cut_count > 0:
        state.cut_count -= 1
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        await response.write(data[: len(data) // 2])
        if request.transport is not None:
            request.transport.close()
        return response
    return web.Response(body=data)


async def _announce(request: web.Request) -> web.Response:
    version = int(request.match_info['version'])
    data = await request.read()
    request.app[STATE].announce(request.match_info['model'], version, data)
    return web.Response(status=204)


def _raise_injected_failure(state: WeightStoreState) -> None:
    if state.failing_count > 0:
        state.failing_count -= 1
        raise web.HTTPServiceUnavailable
