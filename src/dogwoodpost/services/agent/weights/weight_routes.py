"""HTTP routes that serve weights to other agents and to engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.services.agent.weights.weight_cache import DIGEST_HEADER
from dogwoodpost.services.agent.weights.weight_cache import LENGTH_HEADER

if TYPE_CHECKING:
    from dogwoodpost.services.agent.weights.weight_cache import WeightCache
    from dogwoodpost.services.agent.weights.weight_copy import WeightCopy

# An agent can get its load command before the agent that it fetches from,
# which must then wait for its own download to start.
PARENT_WAIT_S = 5.0


def add_weight_routes(app: web.Application, cache: WeightCache) -> None:
    """Register ``GET /weights/{model}/{version}?offset=N``."""

    async def serve(request: web.Request) -> web.StreamResponse:
        offset = request.query.get('offset', '0')
        if not offset.isdecimal():
            raise web.HTTPBadRequest(text='offset: expected a number')
        try:
            async with asyncio.timeout(PARENT_WAIT_S):
                copy = await cache.wait_for_copy(
                    ids.ModelName(request.match_info['model']),
                    ids.WeightVersion(int(request.match_info['version'])),
                )
        except (TimeoutError, PlatformError):
            raise web.HTTPNotFound from None
        return await _send(request, copy, int(offset))

    app.router.add_get(r'/weights/{model}/{version:\d+}', serve)


async def _send(
    request: web.Request, copy: WeightCopy, offset: int
) -> web.StreamResponse:
    assert copy.length_bytes is not None
    response = web.StreamResponse()
    response.headers[LENGTH_HEADER] = str(copy.length_bytes)
    response.headers[DIGEST_HEADER] = copy.digest
    response.content_length = max(0, copy.length_bytes - offset)
    await response.prepare(request)
    try:
        async for chunk in copy.read_from(offset):
            await response.write(chunk)
    except PlatformError:
        # Close the connection: the client gets a truncated body and continues
        # from its next source.
        if request.transport is not None:
            request.transport.close()
    return response
