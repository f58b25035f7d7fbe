"""Stand-in for the platform's table and object stores over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from dogwoodpost.adapters.platform import wire
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_Body = TypeVar('_Body')

MAX_BODY_BYTES = 64 * 1024 * 1024


class FaultSettings(msgspec.Struct, frozen=True):
    """Body of ``POST /standin/faults``; sets all faults at once."""

    down: bool = False
    latency_s: float = 0.0
    lost_request_count: int = 0
    lost_response_count: int = 0
    lost_read_count: int = 0


class PlatformStore:
    """HTTP handlers of one table store and one object store."""

    def __init__(
        self,
        tables: MemoryTableStore,
        objects: MemoryObjectStore,
        faults: StoreFaults,
    ) -> None:
        self._tables = tables
        self._objects = objects
        self._faults = faults

    async def read(self, request: web.Request) -> web.Response:
        """Serve ``POST /read``."""
        body = await _body(request, wire.ReadRequest)
        rows = await self._tables.read(body.keys)
        return _json(wire.RowsResponse(list(rows.values())))

    async def scan(self, request: web.Request) -> web.Response:
        """Serve ``POST /scan``."""
        body = await _body(request, wire.ScanRequest)
        rows = await self._tables.scan(
            body.prefix, after=body.after, limit=body.limit
        )
        return _json(wire.RowsResponse(rows))

    async def commit(self, request: web.Request) -> web.Response:
        """Serve ``POST /commit``."""
        body = await _body(request, wire.CommitRequest)
        versions = await self._tables.commit(
            body.operation_id, body.checks, body.writes
        )
        return _json(wire.CommitResponse(versions))

    async def put_object(self, request: web.Request) -> web.Response:
        """Serve ``PUT /objects/{name}``."""
        name = request.match_info['name']
        await self._objects.put(name, await request.read())
        return web.Response(status=204)

    async def get_object(self, request: web.Request) -> web.Response:
        """Serve ``GET /objects/{name}``."""
        data = await self._objects.get(request.match_info['name'])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def delete_object(self, request: web.Request) -> web.Response:
        """Serve ``DELETE /objects/{name}``."""
        await self._objects.delete(request.match_info['name'])
        return web.Response(status=204)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Serve ``POST /standin/faults``."""
        settings = await _body(request, FaultSettings)
        for field in FaultSettings.__struct_fields__:
            setattr(self._faults, field, getattr(settings, field))
        return web.Response(status=204)


def create_app(
    faults: StoreFaults | None = None,
    tables: MemoryTableStore | None = None,
    objects: MemoryObjectStore | None = None,
) -> web.Application:
    """Return the application; it serves both stores under one base URL.

    :param faults: faults that ``POST /standin/faults`` sets. Stores that are
        not given are created with these faults; given stores keep theirs.
    """
    faults = faults or StoreFaults()
    store = PlatformStore(
        tables or MemoryTableStore(faults),
        objects or MemoryObjectStore(faults),
        faults,
    )
    app = web.Application(
        client_max_size=MAX_BODY_BYTES, middlewares=[_report_errors]
    )
    app.router.add_post('/read', store.read)
    app.router.add_post('/scan', store.scan)
    app.router.add_post('/commit', store.commit)
    app.router.add_put('/objects/{name:.+}', store.put_object)
    app.router.add_get('/objects/{name:.+}', store.get_object)
    app.router.add_delete('/objects/{name:.+}', store.delete_object)
    app.router.add_post('/standin/faults', store.set_faults)
    return app


@web.middleware
async def _report_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except StoreConflictError as error:
        return _json(wire.ConflictResponse(error.keys), status=409)
    except StoreOutcomeUnknownError:
        _abort_connection(request)
        raise
    except StoreUnavailableError:
        return web.Response(status=503)


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPInternalServerError(reason='the response was lost')


async def _body(request: web.Request, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def _json(body: msgspec.Struct, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type='application/json',
    )
