"""Stand-in of the platform's weight store."""

from __future__ import annotations

import msgspec
from aiohttp import web

from dogwoodpost.adapters.platform.weight_store import LatestReply
from dogwoodpost.core import ids


class WeightBook:
    """Announced versions by model."""

    def __init__(self) -> None:
        self.versions: dict[str, dict[ids.WeightVersion, bytes]] = {}

    def announce(
        self, model: str, version: ids.WeightVersion, data: bytes
    ) -> None:
        """Add a version of a model."""
        self.versions.setdefault(model, {})[version] = data


def create_app(book: WeightBook | None = None) -> web.Application:
    """Return an application that serves a book of versions.

    ``PUT /models/{model}/versions/{version}`` announces a version.
    """
    versions = book or WeightBook()

    async def latest(request: web.Request) -> web.Response:
        known = versions.versions.get(request.match_info['model'], {})
        reply = LatestReply(max(known, default=None))
        return web.Response(
            body=msgspec.json.encode(reply), content_type='application/json'
        )

    async def fetch(request: web.Request) -> web.Response:
        known = versions.versions.get(request.match_info['model'], {})
        data = known.get(ids.WeightVersion(int(request.match_info['version'])))
        if data is None:
            raise web.HTTPNotFound
        return web.Response(body=data)

    async def announce(request: web.Request) -> web.Response:
        versions.announce(
            request.match_info['model'],
            ids.WeightVersion(int(request.match_info['version'])),
            await request.read(),
        )
        return web.Response()

    app = web.Application()
    app.router.add_get('/models/{model}/latest', latest)
    path = r'/models/{model}/versions/{version:\d+}'
    app.router.add_get(path, fetch)
    app.router.add_put(path, announce)
    return app
