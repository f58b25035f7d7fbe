"""Row store and object store on the platform's metadata store."""

from __future__ import annotations

from typing import Self
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreRejectedError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.platform.store_connection import CALL_TIMEOUT_S
from dogwoodpost.platform.store_connection import decode_response
from dogwoodpost.platform.store_connection import StoreCall
from dogwoodpost.ports.object_store import ObjectStore
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowPage
from dogwoodpost.ports.row_store import RowStore
from dogwoodpost.ports.row_store import VersionedRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.platform.store_connection import StoreConnection
    from dogwoodpost.ports.row_store import RowCheck
    from dogwoodpost.ports.row_store import RowWrite

_JSON_HEADERS = {'Content-Type': 'application/json'}
_OBJECT_TIMEOUT_S = 4.0
_MS_PER_S = 1_000
# Partitions in one response of the store; the last one may have fewer.
_PARTITION_PAGE_SIZE = 1_000
_STATUS_OK = 200
_STATUS_PRECONDITION_FAILED = 412
_STATUS_NOT_FOUND = 404
_FIRST_CLIENT_ERROR = 400
_FIRST_SERVER_ERROR = 500
_STATUS_NO_ROOM = 507


class _WireRow(msgspec.Struct, frozen=True):
    """A row; ``ver`` is its version, ``part`` its partition."""

    table: str
    key: str
    ver: int
    part: str = ''
    value: bytes | None = None
    deleted: bool = False


class _WirePage(msgspec.Struct, frozen=True):
    """A page of rows; ``ver`` is the newest version of the whole store."""

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
    """A transaction; ``expected`` holds the row versions to check."""

    expected: list[_WireCheck]
    put: list[_WirePut]
    delete: list[_WireDelete]


class _RelayedStore:
    """Store whose calls other processes may relay.

    :param allowed_regions: regions of the processes that may relay calls.
    """

    def __init__(
        self,
        connection: StoreConnection,
        allowed_regions: AllowedRegions = ANY_REGION,
    ) -> None:
        self._connection = connection
        self._allowed_regions = allowed_regions

    def within(self, allowed_regions: AllowedRegions) -> Self:
        """Return the store with calls relayed only in some regions."""
        return type(self)(self._connection, allowed_regions)


class PlatformRowStore(_RelayedStore, RowStore):
    """Rows in the platform's store."""

    async def read(
        self,
        table: str,
        partition: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = 500,
    ) -> RowPage:
        """Return the rows of a key range in key order; ``end`` is excluded."""
        query = {'table': table, 'part': partition, 'limit': str(limit)}
        if start:
            query['from'] = start
        if end:
            query['to'] = end
        page = await self._connection.read(
            'rows-get',
            query,
            _WirePage,
            allowed_regions=self._allowed_regions,
        )
        return _row_page(page)

    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        partitions_so_far: list[str] = []
        while True:
            query = {'table': table}
            if partitions_so_far:
                query['after'] = partitions_so_far[-1]
            parts = await self._connection.read(
                'rows-parts', query, _WireParts
            )
            partitions_so_far += parts.parts
            if len(parts.parts) < _PARTITION_PAGE_SIZE:
                return partitions_so_far

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
                allowed_regions=self._allowed_regions,
            )
        )
        if status == _STATUS_PRECONDITION_FAILED:
            page = decode_response('rows-tx', data, _WirePage)
            raise RowConflictError(_row_page(page).rows)
        _check_change('rows-tx', status, data)
        try:
            return decode_response('rows-tx', data, _WirePage).ver
        except StoreUnavailableError as error:
            raise StoreOutcomeUnknownError(str(error)) from error

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes of a table after a version.

        :param wait_s: how long the store may wait for a change.
        """
        query = {
            'table': table,
            'after': str(after),
            'waitMs': str(int(wait_s * _MS_PER_S)),
        }
        page = await self._connection.read(
            'rows-feed', query, _WirePage, timeout_s=wait_s + CALL_TIMEOUT_S
        )
        return _row_page(page)


class PlatformObjectStore(_RelayedStore, ObjectStore):
    """Objects in the platform's store, where they are called blobs."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; a repeat with the same data has no effect."""
        status, answer = await self._connection.call(
            StoreCall(
                method='PUT',
                name=f'blob-put/{name}',
                body=data,
                headers={'If-None-Match': '*'},
                timeout_s=_OBJECT_TIMEOUT_S,
                allowed_regions=self._allowed_regions,
            )
        )
        if status != _STATUS_PRECONDITION_FAILED:
            _check_change('blob-put', status, answer)

    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""
        status, data = await self._connection.call(
            StoreCall(
                method='GET',
                name=f'blob-get/{name}',
                timeout_s=_OBJECT_TIMEOUT_S,
                allowed_regions=self._allowed_regions,
            )
        )
        if status == _STATUS_NOT_FOUND:
            return None
        if status != _STATUS_OK:
            raise StoreUnavailableError(
                f'blob-get failed with status {status}'
            )
        return data

    async def delete(self, name: str) -> None:
        """Delete an object; deleting a missing one has no effect."""
        status, answer = await self._connection.call(
            StoreCall(method='DELETE', name=f'blob-drop/{name}')
        )
        if status != _STATUS_NOT_FOUND:
            _check_change('blob-drop', status, answer)


def _check_change(name: str, status: int, data: bytes) -> None:
    """Check the response to a call that changes something.

    :raises StoreRejectedError: the call is refused whenever it is made.
    :raises StoreUnavailableError: the store has no room left.
    :raises StoreOutcomeUnknownError: the store failed; the call may have been
        performed.
    """
    if status == _STATUS_OK:
        return
    message = f'{name} failed with status {status}'
    if _FIRST_CLIENT_ERROR <= status < _FIRST_SERVER_ERROR:
        raise StoreRejectedError(message)
    if status == _STATUS_NO_ROOM:
        raise StoreUnavailableError(message)
    raise StoreOutcomeUnknownError(message)


def _transaction(
    checks: Sequence[RowCheck], writes: Sequence[RowWrite]
) -> bytes:
    put: list[_WirePut] = []
    delete: list[_WireDelete] = []
    for write in writes:
        row_fields = (write.key.table, write.key.partition, write.key.key)
        if write.value is None:
            delete.append(_WireDelete(*row_fields))
        else:
            put.append(_WirePut(*row_fields, write.value))
    expected = [
        _WireCheck(
            check.key.table, check.key.partition, check.key.key, check.version
        )
        for check in checks
    ]
    return msgspec.json.encode(_WireTransaction(expected, put, delete))


def _row_page(page: _WirePage) -> RowPage:
    rows = tuple(
        VersionedRow(
            RowKey(row.table, row.part, row.key),
            None if row.deleted or row.ver == 0 else row.value or b'',
            row.ver,
        )
        for row in page.rows
    )
    return RowPage(rows, page.ver, page.truncated)
