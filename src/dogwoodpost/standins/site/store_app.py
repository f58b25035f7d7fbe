"""Stand-in for the platform's metadata store over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import RowPage
    from dogwoodpost.ports.row_store import VersionedRow
    from dogwoodpost.standins.memory_row_store import MemoryRowStore

_MS_PER_S = 1_000
_MAX_CALL_BYTES = 1_000_000
_MAX_ENTRY_COUNT = 100
_MAX_ROW_BYTES = 65_536
_MAX_NAME_BYTES = 200


class _WireRow(msgspec.Struct):
    table: str
    key: str
    part: str = ''
    ver: int = 0
    value: bytes = b''

    def row_key(self) -> RowKey:
        return RowKey(self.table, self.part, self.key)


class _Transaction(msgspec.Struct):
    expected: list[_WireRow] = []
    put: list[_WireRow] = []
    delete: list[_WireRow] = []

    def is_within_limits(self) -> bool:
        """Return whether the store accepts its number and sizes of rows."""
        rows = [*self.expected, *self.put, *self.delete]
        names = {
            name for row in rows for name in (row.table, row.part, row.key)
        }
        return (
            len(rows) <= _MAX_ENTRY_COUNT
            and all(len(name.encode()) <= _MAX_NAME_BYTES for name in names)
            and all(len(row.value) <= _MAX_ROW_BYTES for row in self.put)
        )


class StoreApp:
    """HTTP handlers of a row store and an object store."""

    def __init__(self, store: MemoryRowStore) -> None:
        self._store = store
        self.objects: dict[str, bytes] = {}
        # Return whether to refuse a transaction for its content, or with a
        # status that invites a repeat.
        self.refuses: Callable[[Sequence[RowWrite]], bool] = lambda _: False
        self.refuses_for_now: Callable[[Sequence[RowWrite]], bool]
        self.refuses_for_now = lambda _: False
        self.refused_count = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post('/api/rows-tx', self._transact)
        app.router.add_get('/api/rows-get', self._read)
        app.router.add_get('/api/rows-parts', self._partitions)
        app.router.add_get('/api/rows-feed', self._follow)
        app.router.add_put('/api/blob-put/{name}', self._put_object)
        app.router.add_get('/api/blob-get/{name}', self._get_object)
        app.router.add_delete('/api/blob-drop/{name}', self._drop_object)
        return app

    async def _transact(self, request: web.Request) -> web.Response:
        data = await request.read()
        body = msgspec.json.decode(data, type=_Transaction)
        checks = [RowCheck(item.row_key(), item.ver) for item in body.expected]
        writes = [RowWrite(item.row_key(), item.value) for item in body.put]
        writes += [RowWrite(item.row_key(), None) for item in body.delete]
        parts = {check.key.partition for check in checks}
        parts |= {write.key.partition for write in writes}
        is_allowed = len(data) <= _MAX_CALL_BYTES and body.is_within_limits()
        if not is_allowed or self.refuses(writes):
            self.refused_count += 1
            return web.Response(status=413, text='over the limits')
        if self.refuses_for_now(writes):
            return web.Response(status=503)
        if len(parts) > 1:
            return web.Response(status=400, text='several partitions')
        try:
            version = await self._store.commit(checks, writes)
        except RowConflictError as error:
            return _rows(error.rows, self._store.version, status=412)
        except StoreUnavailableError:
            return web.Response(status=503)
        except StoreOutcomeUnknownError:
            return _abort_connection(request)
        return _rows((), version)

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self._store.read(
                query['table'],
                query['part'],
                start=query.get('from', ''),
                end=query.get('to', ''),
                limit=int(query.get('limit', '500')),
            )
        except StoreUnavailableError:
            return web.Response(status=503)
        return _page(page)

    async def _partitions(self, request: web.Request) -> web.Response:
        try:
            partitions = await self._store.partitions(request.query['table'])
        except StoreUnavailableError:
            return web.Response(status=503)
        after = request.query.get('after', '')
        parts = [part for part in partitions if part > after][:1_000]
        return web.json_response({'parts': parts})

    async def _follow(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self._store.follow(
                query['table'],
                int(query['after']),
                int(query['waitMs']) / _MS_PER_S,
            )
        except HistoryLostError:
            return web.Response(status=410)
        except StoreUnavailableError:
            return web.Response(status=503)
        return _page(page)

    async def _put_object(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name in self.objects:
            return web.Response(status=412)
        self.objects[name] = await request.read()
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info['name'])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def _drop_object(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info['name'], None)
        return web.Response()


def _page(page: RowPage) -> web.Response:
    return _rows(page.rows, page.version, truncated=page.truncated)


def _rows(
    rows: tuple[VersionedRow, ...],
    version: int,
    *,
    truncated: bool = False,
    status: int = 200,
) -> web.Response:
    body = {
        'rows': [_row(row) for row in rows],
        'truncated': truncated,
        'ver': version,
        'nowMs': 0,
    }
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def _row(row: VersionedRow) -> dict[str, object]:
    document: dict[str, object] = {
        'table': row.key.table,
        'part': row.key.partition,
        'key': row.key.key,
        'ver': row.version,
    }
    if row.value is None:
        return {**document, 'deleted': True}
    return {**document, 'value': row.value}


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
