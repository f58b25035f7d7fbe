"""HTTP client of one engine or plain service."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import yarl

from dogwoodpost.adapters.http.body_end import BodyEnd
from dogwoodpost.adapters.http.call_errors import CALL_ERRORS
from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import MAX_DOCUMENT_BYTES
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.http.send_once import send_once
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.response_usage import ENGINE_PATHS
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointUnsupportedError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.ports.endpoint_client import CacheEventBatch
from dogwoodpost.ports.endpoint_client import EndpointClient
from dogwoodpost.ports.endpoint_client import EndpointResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.endpoint_client import EndpointRequest

# Engines send a keep-alive at least every 10 s, and this allows for two late
# ones. Other services may use the request's whole time limit before the head.
IDLE_TIMEOUT_S = 20.0
CONTROL_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 1.0
# A weight load transfers gigabytes; its target is 17 s for all samplers.
COMMAND_TIMEOUT_S = 60.0
_MAX_CHUNK_BYTES = 64 * 1024

# The entry already removes credentials; the agent drops any that remain.
_CREDENTIAL_HEADERS = frozenset(
    {'authorization', 'proxy-authorization', 'cookie', 'x-api-key'}
)
# aiohttp sets these headers itself.
_HEADERS_SET_BY_AIOHTTP = frozenset({'content-length', 'host'})
# aiohttp would add these headers to requests without them.
_AIOHTTP_DEFAULT_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_PRIORITY_HEADER = 'X-Request-Priority'
_TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
_SUCCESS_STATUSES = frozenset({200, 204})
_UNSUPPORTED_STATUSES = frozenset({404, 405, 501})
_Action = messages.EndpointAction
# Path of each command and the body field that holds its argument.
_COMMANDS = {
    _Action.LOAD_WEIGHTS: ('/control/weights/load', 'weight_version'),
    _Action.SWITCH_WEIGHTS: ('/control/weights/switch', 'weight_version'),
    _Action.LOAD_ADAPTER: ('/control/adapters/load', 'adapter'),
    _Action.LOAD_MODEL: ('/control/models/load', 'model'),
    _Action.SET_ROLE: ('/control/role', 'role'),
}


class _Load(msgspec.Struct):
    running_count: int
    waiting_count: int
    running_tokens: int = 0
    age_ms: int = 0
    weight_version: int | None = None


class HttpEndpointResponse(EndpointResponse):
    """A response over HTTP."""

    def __init__(
        self, response: aiohttp.ClientResponse, idle_timeout_s: float
    ) -> None:
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self._body_end = BodyEnd(response)
        self.ends_with_connection = self._body_end.is_connection_end
        self.status = response.status
        self.headers = end_to_end_headers(
            response.headers.items(), _HEADERS_SET_BY_AIOHTTP
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as it arrives.

        :raises EndpointError: the body ended early, or no bytes arrived
            within the idle time-out.
        """
        content = self._response.content
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s):
                    data = await content.readany()
            except TimeoutError:
                raise EndpointError(
                    f'no bytes of the body for {self._idle_timeout_s} s'
                ) from None
            except CALL_ERRORS as error:
                raise EndpointError(
                    f'body ended early: {call_failure(error)}'
                ) from error
            if not data:
                self._body_end.check_not_reset()
                return
            for start in range(0, len(data), _MAX_CHUNK_BYTES):
                yield data[start : start + _MAX_CHUNK_BYTES]


class HttpEndpointClient(EndpointClient):
    """Calls one endpoint; the caller owns and closes the session."""

    def __init__(
        self,
        endpoint_id: ids.EndpointId,
        base_url: str,
        session: aiohttp.ClientSession,
        *,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self._endpoint_id = endpoint_id
        self._base_url = base_url.rstrip('/')
        self._session = session
        self._idle_timeout_s = idle_timeout_s

    @contextlib.asynccontextmanager
    async def call(
        self, request: EndpointRequest
    ) -> AsyncIterator[EndpointResponse]:
        """Send a request and open its response.

        :raises EndpointError: no response was received.
        """
        response = await self._send(request)
        try:
            yield HttpEndpointResponse(response, self._idle_timeout_s)
        finally:
            # Closes the connection unless the body was read completely.
            response.close()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request; an unknown id has no effect."""
        with contextlib.suppress(EndpointError):
            await self._call_control(
                'POST', '/control/cancel', {'request_id': request_id}
            )

    async def load(self) -> messages.EndpointLoad:
        """Return the endpoint's last load report.

        :raises EndpointError: the endpoint did not answer.
        """
        body = await self._call_control(
            'GET', '/control/load', timeout_s=LOAD_TIMEOUT_S
        )
        load = _decode(body, _Load)
        return messages.EndpointLoad(
            endpoint_id=self._endpoint_id,
            running_count=load.running_count,
            waiting_count=load.waiting_count,
            running_tokens=load.running_tokens,
            age_ms=load.age_ms,
            weight_version=load.weight_version,
        )

    async def command(
        self,
        action: messages.EndpointAction,
        argument: str,
        fencing_number: ids.FencingNumber,
        fetch_from: tuple[str, ...] = (),
    ) -> None:
        """Send a command to load or switch weights or to change the role.

        :raises EndpointError: the endpoint refused the command or failed.
        """
        if action not in _COMMANDS:
            raise EndpointError(
                f'{action.value} is not a command for endpoints'
            )
        path, field = _COMMANDS[action]
        body = {
            field: _parse_argument(field, argument),
            'fencing_number': fencing_number,
            'fetch_from': list(fetch_from),
        }
        await self._call_control('POST', path, body, COMMAND_TIMEOUT_S)

    async def cache_events(self, after: int) -> CacheEventBatch | None:
        """Return the cache events after a sequence number, None without any.

        :raises EndpointError: the endpoint did not answer.
        """
        path = f'/control/cache_events?after={after}'
        batch: CacheEventBatch = _decode(
            await self._call_control('GET', path), CacheEventBatch
        )
        if batch.cleared or batch.stored or batch.evicted:
            return batch
        return None

    async def _send(self, request: EndpointRequest) -> aiohttp.ClientResponse:
        headers = _request_headers(request)
        timeout_s = request.timeout_s
        if request.path.partition('?')[0] in ENGINE_PATHS:
            timeout_s = min(timeout_s, self._idle_timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._session.request(
                    request.method,
                    yarl.URL(self._base_url + request.path, encoded=True),
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                    skip_auto_headers=_AIOHTTP_DEFAULT_HEADERS,
                    timeout=aiohttp.ClientTimeout(total=None),
                    middlewares=(send_once,),
                )
        except TimeoutError:
            raise EndpointError(
                f'no answer within {timeout_s:.3f} s'
            ) from None
        except CALL_ERRORS as error:
            raise EndpointError(f'no answer: {call_failure(error)}') from error

    async def _call_control(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> bytes:
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                json=document,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await read_body(response, max_bytes=MAX_DOCUMENT_BYTES)
        except TimeoutError:
            raise EndpointError(f'{path}: no answer') from None
        except CALL_ERRORS as error:
            raise EndpointError(f'{path}: {call_failure(error)}') from error
        if response.status in _UNSUPPORTED_STATUSES:
            raise EndpointUnsupportedError(
                f'{path}: not supported by the endpoint'
            )
        if response.status not in _SUCCESS_STATUSES:
            raise EndpointError(f'{path}: status {response.status}')
        return body


def _request_headers(request: EndpointRequest) -> list[tuple[str, str]]:
    excluded_names = _HEADERS_SET_BY_AIOHTTP | _CREDENTIAL_HEADERS
    headers = list(end_to_end_headers(request.headers, excluded_names))
    headers.append((_PRIORITY_HEADER, str(request.priority)))
    remaining_ms = max(1, int(request.timeout_s * 1000))
    headers.append((_TIMEOUT_HEADER, str(remaining_ms)))
    # The caller of a plain service may have set its own request id.
    if all(name.lower() != 'x-request-id' for name, _ in headers):
        headers.append(('X-Request-Id', request.request_id))
    return headers


def _parse_argument(field: str, argument: str) -> str | int:
    if field != 'weight_version':
        return argument
    try:
        return int(argument)
    except ValueError:
        raise EndpointError(f'{argument!r} is no weight version') from None


def _decode(body: bytes, body_type: type[Any]) -> Any:
    try:
        return decode_json(body, body_type)
    except MalformedDataError as error:
        raise EndpointError(f'malformed response: {error}') from None
