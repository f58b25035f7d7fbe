"""Stand-in of a scoring service."""

from __future__ import annotations

import msgspec
import xxhash
from aiohttp import web

from dogwoodpost.adapters.platform.scorer import ScoreReply
from dogwoodpost.adapters.platform.scorer import ScoreRequest

_SCORE_STEPS = 1_000


def create_app() -> web.Application:
    """Return an application that scores samples by their text."""

    async def score(request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read(), type=ScoreRequest)
        digest = xxhash.xxh3_64_intdigest(body.completion)
        reply = ScoreReply((digest % _SCORE_STEPS) / _SCORE_STEPS)
        return web.Response(
            body=msgspec.json.encode(reply), content_type='application/json'
        )

    app = web.Application()
    app.router.add_post('/score', score)
    return app
