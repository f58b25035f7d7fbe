"""Control paths of the engine stand-in."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.standins.engine.engine import OrderRefusedError
from dogwoodpost.standins.engine.settings import EngineFaults

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.engine import Engine


def add_routes(app: web.Application, engine: Engine) -> None:
    """Add the control paths, and those that set faults."""
    paths = ControlPaths(engine)
    app.router.add_post('/control/cancel', paths.cancel)
    app.router.add_get('/control/load', paths.load)
    app.router.add_get('/control/cache_events', paths.cache_events)
    app.router.add_post('/control/weights/load', paths.load_weights)
    app.router.add_post('/control/weights/switch', paths.switch_weights)
    app.router.add_post('/control/adapters/load', paths.load_adapter)
    app.router.add_post('/control/models/load', paths.load_model)
    app.router.add_post('/control/role', paths.set_role)
    app.router.add_get('/control/kv/{request_id}', paths.export_kv)
    app.router.add_put('/control/kv/{request_id}', paths.import_kv)
    app.router.add_post('/standin/faults', paths.set_faults)
    app.router.add_get('/standin/state', paths.state)


class ControlPaths:
    """Handlers of one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request; an unknown id has no effect."""
        document = await _document(request)
        self._engine.cancel(str(document.get('request_id')))
        return web.json_response({})

    async def load(self, request: web.Request) -> web.Response:
        """Return the load report."""
        return web.json_response(self._engine.load())

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a number."""
        after = int(request.query.get('after', '-1'))
        batch = self._engine.cache.events_after(after)
        return web.Response(
            body=msgspec.json.encode(batch), content_type='application/json'
        )

    async def load_weights(self, request: web.Request) -> web.Response:
        """Load weights beside those in use."""
        document = await self._order(request)
        try:
            await self._engine.load_weights(int(document['weight_version']))
        except OrderRefusedError as error:
            raise _refused(error) from None
        return web.json_response({})

    async def switch_weights(self, request: web.Request) -> web.Response:
        """Switch to loaded weights."""
        document = await self._order(request)
        try:
            self._engine.switch_weights(int(document['weight_version']))
        except OrderRefusedError as error:
            raise _refused(error) from None
        return web.json_response({})

    async def load_adapter(self, request: web.Request) -> web.Response:
        """Load an adapter."""
        document = await self._order(request)
        self._engine.loaded_names['adapter'].append(document['adapter'])
        return web.json_response({})

    async def load_model(self, request: web.Request) -> web.Response:
        """Load a model."""
        document = await self._order(request)
        self._engine.loaded_names['model'].append(document['model'])
        return web.json_response({})

    async def set_role(self, request: web.Request) -> web.Response:
        """Change the role."""
        document = await self._order(request)
        self._engine.role = str(document['role'])
        return web.json_response({})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Return the cache of a running request."""
        generation = self._engine.find(request.match_info['request_id'])
        if generation is None:
            raise web.HTTPGone(text='no such request')
        document = {'hashes': generation.hashes}
        return web.json_response(document)

    async def import_kv(self, request: web.Request) -> web.Response:
        """Take the cache of another engine's request."""
        document = await _document(request)
        self._engine.cache.store([int(item) for item in document['hashes']])
        return web.json_response({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the faults; fields that are not given have no fault."""
        faults = msgspec.json.decode(await request.read(), type=EngineFaults)
        for field in faults.__struct_fields__:
            setattr(self._engine.faults, field, getattr(faults, field))
        return web.json_response({})

    async def state(self, request: web.Request) -> web.Response:
        """Return what tests check."""
        engine = self._engine
        return web.json_response(
            {
                'key_violation_count': engine.key_violation_count,
                'executions': engine.executions,
                'weight_version': engine.weight_version,
                'role': engine.role,
            }
        )

    async def _order(self, request: web.Request) -> dict[str, Any]:
        document = await _document(request)
        try:
            self._engine.check_fencing(int(document.get('fencing_number', 0)))
        except OrderRefusedError as error:
            raise _refused(error) from None
        return document


async def _document(request: web.Request) -> dict[str, Any]:
    try:
        return msgspec.json.decode(await request.read(), type=dict[str, Any])
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from None


def _refused(error: OrderRefusedError) -> web.HTTPConflict:
    return web.HTTPConflict(text=str(error))
