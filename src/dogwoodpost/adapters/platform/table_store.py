"""Client of the platform's table service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
import msgspec

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import MAX_DOCUMENT_BYTES
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.platform import wire
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import TableStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import Write

_Body = TypeVar('_Body')

_OK = 200
_CONFLICT = 409
# The service responds with 429 and 503 only to calls that it did not accept.
_REJECTED_STATUSES = frozenset({429, 503})


class HttpTableStore(TableStore):
    """Calls the table service over HTTP with JSON bodies."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        metrics: Metrics | None = None,
    ) -> None:
        self._session = session
        self._url = url.rstrip('/')
        self._metrics = metrics

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, read at one point in time."""
        request = wire.ReadRequest(tuple(keys))
        response = await self._query('read', request)
        return {row.key: row for row in response.rows}

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Return rows with a prefix that follow ``after``, in key order."""
        request = wire.ScanRequest(prefix, after, limit)
        return (await self._query('scan', request)).rows

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new versions."""
        request = wire.CommitRequest(
            operation_id, tuple(checks), tuple(writes)
        )
        try:
            status, body = await self._post('commit', request)
        except aiohttp.ClientConnectorError as error:
            # Without a connection the service cannot have received the call.
            self._count_call('commit', 'unavailable')
            raise StoreUnavailableError(
                f'commit: {call_failure(error)}'
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            self._count_call('commit', 'outcome_unknown')
            raise StoreOutcomeUnknownError(
                f'commit: {call_failure(error)}'
            ) from error
        return self._commit_result(status, body)

    def _commit_result(self, status: int, body: bytes) -> dict[str, int]:
        if status in _REJECTED_STATUSES:
            self._count_call('commit', 'unavailable')
            raise StoreUnavailableError(f'commit: status {status}')
        try:
            if status == _CONFLICT:
                conflict = _decode(body, wire.ConflictResponse)
                self._count_call('commit', 'conflict')
                raise StoreConflictError(conflict.conflicts)
            if status == _OK:
                versions = _decode(body, wire.CommitResponse).versions
                self._count_call('commit', 'ok')
                return versions
        except MalformedDataError as error:
            self._count_call('commit', 'outcome_unknown')
            message = f'commit: malformed response: {error}'
            raise StoreOutcomeUnknownError(message) from error
        self._count_call('commit', 'outcome_unknown')
        raise StoreOutcomeUnknownError(f'commit: status {status}')

    async def _query(
        self, operation: str, request: msgspec.Struct
    ) -> wire.RowsResponse:
        try:
            status, body = await self._post(operation, request)
            if status == _OK:
                response = _decode(body, wire.RowsResponse)
                self._count_call(operation, 'ok')
                return response
            message = f'{operation}: status {status}'
            cause: Exception | None = None
        except MalformedDataError as error:
            message = f'{operation}: malformed response: {error}'
            cause = error
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f'{operation}: {call_failure(error)}'
            cause = error
        self._count_call(operation, 'unavailable')
        raise StoreUnavailableError(message) from cause

    async def _post(
        self, operation: str, request: msgspec.Struct
    ) -> tuple[int, bytes]:
        async with self._session.post(
            f'{self._url}/{operation}',
            data=msgspec.json.encode(request),
            headers={'Content-Type': 'application/json'},
        ) as response:
            return response.status, await read_body(
                response, max_bytes=MAX_DOCUMENT_BYTES
            )

    def _count_call(self, operation: str, result: str) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.labels(operation, result).inc()


def _decode(body: bytes, body_type: type[_Body]) -> _Body:
    return decode_json(body, body_type)
