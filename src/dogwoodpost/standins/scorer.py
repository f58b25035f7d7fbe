"""Stand-in for a scoring service."""

from __future__ import annotations

import asyncio

import xxhash
from aiohttp import web


class ScorerState:
    """Scores by sample id and injected faults.

    ``failing_count`` is the number of next calls that fail before the sample
    is scored, ``lost_response_count`` the number of next calls that fail
    after it was scored, and ``malformed_count`` the number of next calls
    that return a malformed response.
    """

    def __init__(self, *, latency_s: float = 0.0) -> None:
        self.latency_s = latency_s
        self.scores: dict[str, float] = {}
        self.call_count = 0
        self.failing_count = 0
        self.lost_response_count = 0
        self.malformed_count = 0


STATE = web.AppKey('state', ScorerState)


def create_app(state: ScorerState | None = None) -> web.Application:
    """Return an application that serves the scorer."""
    app = web.Application()
    app[STATE] = state or ScorerState()
    app.router.add_post('/score', _score)
    return app


async def _score(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.call_count += 1
    body = await request.json()
    if state.failing_count > 0:
        state.failing_count -= 1
        raise web.HTTPServiceUnavailable
    await asyncio.sleep(state.latency_s)
    sample_id = body['sample_id']
    if sample_id not in state.scores:
        digest = xxhash.xxh3_64_intdigest(body['completion'])
        state.scores[sample_id] = digest % 1000 / 1000
    if state.lost_response_count > 0:
        state.lost_response_count -= 1
        raise web.HTTPGatewayTimeout
    if state.malformed_count > 0:
        state.malformed_count -= 1
        return web.json_response({'score': 'none'})
    score = state.scores[sample_id]
    return web.json_response({'sample_id': sample_id, 'score': score})
