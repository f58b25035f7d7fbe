"""Calls to the platform's metadata store, directly or through a peer."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import TypeVar

import aiohttp
import msgspec
import structlog
import yarl

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.http.send_once import MAY_REPEAT
from dogwoodpost.adapters.http.send_once import NOT_CONNECTED_ERRORS
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.membership.store_path import StorePath
from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.store_relay import StoreRelay

_log = structlog.get_logger(__name__)
CALL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.5
# Objects have up to 8 MiB, pages of rows 1 MB.
MAX_RESPONSE_BYTES = 12 * 1024 * 1024
_STATUS_OK = 200
_STATUS_GONE = 410
_STATUS_TOO_MANY = 429
_STATUS_UNAVAILABLE = 503

_T = TypeVar('_T')


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to the store.

    :param name: path of the call below ``/api/``.
    :param allowed_regions: regions of the processes that may relay the call.
    """

    method: str
    name: str
    query: dict[str, str] = {}
    body: bytes | None = None
    headers: dict[str, str] = {}
    timeout_s: float = CALL_TIMEOUT_S
    allowed_regions: AllowedRegions = ANY_REGION

    @property
    def is_read_only(self) -> bool:
        """Return whether the call changes nothing and may be repeated."""
        return self.method == 'GET'


# A read of a table without rows.
_PROBE_CALL = StoreCall(
    method='GET',
    name='rows-get',
    query={'table': 'probe', 'part': '', 'limit': '1'},
    timeout_s=0.5,
)


class StoreConnection:
    """Calls the store over HTTP and classifies failures.

    Calls go through a peer while this process does not reach the store.

    :param address: host and port of the store.
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
        """Make a call; return the status and body of its response.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: the call may have been performed,
            or may be later.
        """
        if self.relay is None:
            return await self._call_directly(call)
        had_failed = self._path.has_failed
        if self._path.takes_direct(_now_s(), may_probe=call.is_read_only):
            if not had_failed or await self._probe():
                return await self._call_directly_first(call, self.relay)
        try:
            return await self.relay.call(call)
        except StoreUnavailableError:
            # Peers lose responses of the store now and then too, so their
            # failure does not mean that the direct call fails.
            return await self._call_directly(call)

    async def _call_directly_first(
        self, call: StoreCall, relay: StoreRelay
    ) -> tuple[int, bytes]:
        try:
            return await self._call_directly(call)
        except StoreUnavailableError as error:
            self._mark_relayed(str(error))
        except StoreOutcomeUnknownError as error:
            self._mark_relayed(str(error))
            if not call.is_read_only:
                raise
        return await relay.call(call)

    async def _probe(self) -> bool:
        """Return whether the store answers a direct call again.

        The read of a feed may take over a second without a change, so it
        would tell later than a call that is answered at once.
        """
        try:
            await self._call_directly(_PROBE_CALL)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            return False
        return True

    async def call_for_peer(self, call: StoreCall) -> tuple[int, bytes]:
        """Make a call on behalf of another process.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: the call may have been performed,
            or may be later.
        """
        if not self._path.serves_peers(_now_s()):
            raise StoreUnavailableError(
                f'{call.name}: this process does not reach the store'
            )
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

    def _mark_relayed(self, error: str) -> None:
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
            with translate_call_errors(call.name):
                async with self._session.request(
                    call.method,
                    url,
                    data=call.body,
                    headers=call.headers,
                    allow_redirects=False,
                    middlewares=MAY_REPEAT if call.is_read_only else None,
                    timeout=aiohttp.ClientTimeout(
                        total=call.timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                    ),
                ) as response:
                    data = await read_body(
                        response, max_bytes=MAX_RESPONSE_BYTES
                    )
        except StoreUnavailableError:
            self._count(operation, 'unreachable')
            raise
        except StoreOutcomeUnknownError:
            self._count(operation, 'unanswered')
            raise
        self._count(operation, str(response.status))
        if response.status in {_STATUS_TOO_MANY, _STATUS_UNAVAILABLE}:
            raise StoreUnavailableError(
                f'{call.name} refused with status {response.status}'
            )
        return response.status, data

    async def read(
        self,
        name: str,
        query: dict[str, str],
        value_type: type[_T],
        timeout_s: float = CALL_TIMEOUT_S,
        allowed_regions: AllowedRegions = ANY_REGION,
    ) -> _T:
        """Make a read-only call and return the decoded body.

        :raises HistoryLostError: the store no longer has the changes.
        :raises StoreUnavailableError: the call failed, or the body does not
            match ``value_type``.
        """
        try:
            status, data = await self.call(
                StoreCall(
                    method='GET',
                    name=name,
                    query=query,
                    timeout_s=timeout_s,
                    allowed_regions=allowed_regions,
                )
            )
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if status == _STATUS_GONE:
            raise HistoryLostError(
                f'{name}: changes are no longer kept, status {status}'
            )
        if status != _STATUS_OK:
            raise StoreUnavailableError(f'{name} failed with status {status}')
        return decode_response(name, data, value_type)

    def _count(self, operation: str, result: str) -> None:
        self._metrics.store_calls.labels(operation, result).inc()


@contextmanager
def translate_call_errors(name: str) -> Iterator[None]:
    """Translate errors by whether the call may have been performed.

    :param name: name of the call, for error messages.
    :raises StoreUnavailableError: the call was not performed.
    :raises StoreOutcomeUnknownError: the call may have been performed,
        or may be later.
    """
    try:
        yield
    except NOT_CONNECTED_ERRORS as error:
        raise StoreUnavailableError(
            f'{name}: {call_failure(error)}'
        ) from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise StoreOutcomeUnknownError(
            f'{name}: {call_failure(error)}'
        ) from error


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def decode_response(name: str, data: bytes, value_type: type[_T]) -> _T:
    """Return the decoded body of a response.

    :raises StoreUnavailableError: the body does not match ``value_type``.
    """
    try:
        return decode_json(data, value_type)
    except MalformedDataError as error:
        raise StoreUnavailableError(
            f'{name}: malformed response: {error}'
        ) from error
