"""Client of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import aiohttp

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.call_errors import CallError
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.object_store import ObjectStore

if TYPE_CHECKING:
    from dogwoodpost.observability import Metrics

_OK = 200
_NOT_FOUND = 404


class HttpObjectStore(ObjectStore):
    """Calls the object store over HTTP.

    Objects are immutable and every call may be repeated, so a lost response is
    reported as ``StoreUnavailableError`` like any other failure.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        metrics: Metrics | None = None,
    ) -> None:
        self._session = session
        self._url = url.rstrip('/')
        self._metrics = metrics

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; repeating it with the same data has no effect."""
        await self._call('PUT', name, data)

    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""
        return await self._call('GET', name)

    async def delete(self, name: str) -> None:
        """Delete an object; deleting a missing one has no effect."""
        await self._call('DELETE', name)

    async def _call(
        self, method: str, name: str, data: bytes | None = None
    ) -> bytes | None:
        operation = f'object_{method.lower()}'
        url = f'{self._url}/objects/{quote(name, safe="/")}'
        try:
            async with self._session.request(
                method, url, data=data
            ) as response:
                if response.status == _NOT_FOUND and method != 'PUT':
                    self._count_call(operation, 'missing')
                    return None
                _check_status(method, response.status)
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self._count_call(operation, 'unavailable')
            message = f'{operation} {name}: {call_failure(error)}'
            raise StoreUnavailableError(message) from error
        self._count_call(operation, 'ok')
        return body

    def _count_call(self, operation: str, result: str) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.labels(operation, result).inc()


def _check_status(method: str, status: int) -> None:
    """Check that a call was successful.

    Only a response with status 200 has an object as its body.

    :raises CallError: the call failed.
    """
    is_done = status == _OK if method == 'GET' else is_success_status(status)
    if not is_done:
        raise CallError(f'status {status}')
