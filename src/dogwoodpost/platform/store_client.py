"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
import msgspec
import structlog
import yarl

from dogwoodpost.core.membership.store_path import StorePath
from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.object_store import ObjectStore
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowPage
from dogwoodpost.ports.row_store import RowStore
from dogwoodpost.ports.row_store import VersionedRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.store_relay import StoreRelay
    from dogwoodpost.ports.row_store import RowCheck
    from dogwoodpost.ports.row_store import RowWrite

_log = structlog.get_logger(__name__)
_JSON_HEADERS = {'Content-Type': 'application/json'}
_CALL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.5
_OBJECT_TIMEOUT_S = 4.0
_MS_PER_S = 1_000
_STATUS_OK = 200
_STATUS_CONFLICT = 412
_STATUS_GONE = 410
_STATUS_NOT_FOUND = 404
_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503

_T = TypeVar('_T')


class _WireRow(msgspec.Struct, frozen=True):
    """A row; ``ver`` is its version, ``part`` its partition."""

    table: str
    key: str
    ver: int
    part: str = ''
    value: bytes | None = None
    deleted: bool = False


class _WirePage(msgspec.Struct, frozen=True):
    """``ver`` is the newest version of the whole store."""

    rows: tuple[_WireRow, ...] = ()
    truncated: bool = False
    ver: int = 0


class _WireParts(msgspec.Struct, frozen=True):
    parts: tuple[str, ...] = ()


class _WireCheck(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    ver: int


class _WirePut(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str
    value: bytes


class _WireDelete(msgspec.Struct, frozen=True):
    table: str
    part: str
    key: str


class _WireTransaction(msgspec.Struct, frozen=True):
    """``expected`` are the checks."""

    expected: list[_WireCheck]
    put: list[_WirePut]
    delete: list[_WireDelete]


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to the store."""

    method: str
    name: str
    query: dict[str, str] = {}
    body: bytes | None = None
    headers: dict[str, str] = {}
    timeout_s: float = _CALL_TIMEOUT_S

    @property
    def changes_nothing(self) -> bool:
        """Return whether the call may be made any number of times."""
        return self.method == 'GET'


class StoreConnection:
    """HTTP calls to the store, with their failures told apart.

    Where this process does not reach the store, calls go by a peer.
    """

    def __init__(
        self, address: str, session: aiohttp.ClientSession, metrics: Metrics
    ) -> None:
        self.address = address
        self.relay: StoreRelay | None = None
        self._session = session
        self._metrics = metrics
        self._path = StorePath()
        self._is_relayed = False

    async def call(self, call: StoreCall) -> tuple[int, bytes]:
        """Return status and body.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: it may have been, or may be later.
        """
        if self.relay is None:
            return await self._call_directly(call)
        if self._path.takes_direct(_now_s(), may_probe=call.changes_nothing):
            return await self._call_directly_first(call, self.relay)
        try:
            return await self.relay.call(call)
        except StoreUnavailableError:
            # Answers are lost now and then, for the peers as well.
            return await self._call_directly(call)

    async def _call_directly_first(
        self, call: StoreCall, relay: StoreRelay
    ) -> tuple[int, bytes]:
        try:
            return await self._call_directly(call)
        except StoreUnavailableError as error:
            self._note_relayed(str(error))
        except StoreOutcomeUnknownError as error:
            self._note_relayed(str(error))
            if not call.changes_nothing:
                raise
        return await relay.call(call)

    async def call_for_peer(self, call: StoreCall) -> tuple[int, bytes]:
        """Make the call of another process.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: it may have been, or may be later.
        """
        if not self._path.serves_peers(_now_s()):
            raise StoreUnavailableError(f'{call.name}: the store is away')
        return await self._call_directly(call)

    async def _call_directly(self, call: StoreCall) -> tuple[int, bytes]:
        try:
            status, data = await self._send(call)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self._path.note_failure(_now_s())
            raise
        self._path.note_success(_now_s())
        if self._is_relayed:
            self._is_relayed = False
            _log.info('store_reached_directly')
        return status, data

    def _note_relayed(self, error: str) -> None:
        if not self._is_relayed:
            self._is_relayed = True
            _log.warning('store_reached_by_peers', error=error)

    async def _send(self, call: StoreCall) -> tuple[int, bytes]:
        url = yarl.URL.build(
            scheme='http',
            authority=self.address,
            path=f'/api/{call.name}',
            query=call.query,
        )
        operation = call.name.partition('/')[0]
        try:
            async with self._session.request(
                call.method,
                url,
                data=call.body,
                headers=call.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                data = await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self._count(operation, 'unreachable')
            raise StoreUnavailableError(f'{call.name}: {error!r}') from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._count(operation, 'unanswered')
            raise StoreOutcomeUnknownError(
                f'{call.name}: {error!r}'
            ) from error
        self._count(operation, str(response.status))
        if response.status in {_STATUS_TOO_MANY, _STATUS_UNAVAILABLE}:
            raise StoreUnavailableError(
                f'{call.name}: status {response.status}'
            )
        return response.status, data

    async def read(
        self,
        name: str,
        query: dict[str, str],
        value_type: type[_T],
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> _T:
        """Return the decoded body of a call that changes nothing."""
        try:
            status, data = await self.call(
                StoreCall(
                    method='GET', name=name, query=query, timeout_s=timeout_s
                )
            )
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if status == _STATUS_GONE:
            raise HistoryLostError(f'{name}: status {status}')
        if status != _STATUS_OK:
            raise StoreUnavailableError(f'{name}: status {status}')
        return _decoded(name, data, value_type)

    def _count(self, operation: str, result: str) -> None:
        self._metrics.store_calls.labels(operation, result).inc()


class PlatformRowStore(RowStore):
    """Rows in the platform's store."""

    def __init__(self, connection: StoreConnection) -> None:
        self._connection = connection

    async def read(
        self,
        table: str,
        partition: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = 500,
    ) -> RowPage:
        """Return rows of a key range without its end, in key order."""
        query = {'table': table, 'part': partition, 'limit': str(limit)}
        if start:
            query['from'] = start
        if end:
            query['to'] = end
        page = await self._connection.read('rows-get', query, _WirePage)
        return _page(page)

    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        found: list[str] = []
        while True:
            query = {'table': table}
            if found:
                query['after'] = found[-1]
            parts = await self._connection.read(
                'rows-parts', query, _WireParts
            )
            found += parts.parts
            if len(parts.parts) < 1_000:
                return found

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply all writes if all checks hold; return the new version."""
        status, data = await self._connection.call(
            StoreCall(
                method='POST',
                name='rows-tx',
                body=_transaction(checks, writes),
                headers=_JSON_HEADERS,
            )
        )
        if status == _STATUS_CONFLICT:
            page = _decoded('rows-tx', data, _WirePage)
            raise RowConflictError(_page(page).rows)
        if status != _STATUS_OK:
            raise StoreUnavailableError(
                f'rows-tx: status {status}: {data[:200]!r}'
            )
        try:
            return _decoded('rows-tx', data, _WirePage).ver
        except StoreUnavailableError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes of a table after a version."""
        query = {
            'table': table,
            'after': str(after),
            'waitMs': str(int(wait_s * _MS_PER_S)),
        }
        page = await self._connection.read(
            'rows-feed', query, _WirePage, timeout_s=wait_s + _CALL_TIMEOUT_S
        )
        return _page(page)


class PlatformObjectStore(ObjectStore):
    """Objects in the platform's store; it calls them blobs."""

    def __init__(self, connection: StoreConnection) -> None:
        self._connection = connection

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; a repeat with the same data has no effect."""
        status, _ = await self._connection.call(
            StoreCall(
                method='PUT',
                name=f'blob-put/{name}',
                body=data,
                headers={'If-None-Match': '*'},
                timeout_s=_OBJECT_TIMEOUT_S,
            )
        )
        if status not in {_STATUS_OK, _STATUS_CONFLICT}:
            raise StoreUnavailableError(f'blob-put: status {status}')

    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""
        status, data = await self._connection.call(
            StoreCall(
                method='GET',
                name=f'blob-get/{name}',
                timeout_s=_OBJECT_TIMEOUT_S,
            )
        )
        if status == _STATUS_NOT_FOUND:
            return None
        if status != _STATUS_OK:
            raise StoreUnavailableError(f'blob-get: status {status}')
        return data

    async def delete(self, name: str) -> None:
        """Delete an object; deleting a missing one has no effect."""
        status, _ = await self._connection.call(
            StoreCall(method='DELETE', name=f'blob-drop/{name}')
        )
        if status not in {_STATUS_OK, _STATUS_NOT_FOUND}:
            raise StoreUnavailableError(f'blob-drop: status {status}')


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _transaction(
    checks: Sequence[RowCheck], writes: Sequence[RowWrite]
) -> bytes:
    put: list[_WirePut] = []
    delete: list[_WireDelete] = []
    for write in writes:
        place = (write.key.table, write.key.partition, write.key.key)
        if write.value is None:
            delete.append(_WireDelete(*place))
        else:
            put.append(_WirePut(*place, write.value))
    expected = [
        _WireCheck(
            check.key.table, check.key.partition, check.key.key, check.version
        )
        for check in checks
    ]
    return msgspec.json.encode(_WireTransaction(expected, put, delete))


def _page(page: _WirePage) -> RowPage:
    rows = tuple(
        VersionedRow(
            RowKey(row.table, row.part, row.key),
            None if row.deleted or row.ver == 0 else row.value or b'',
            row.ver,
        )
        for row in page.rows
    )
    return RowPage(rows, page.ver, page.truncated)


def _decoded(name: str, data: bytes, value_type: type[_T]) -> _T:
    try:
        return msgspec.json.decode(data, type=value_type)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f'{name}: {error}') from error
