"""HTTP client of one engine or plain service."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import yarl

from dogwoodpost.adapters.http.send_once import SendOnce
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.response_usage import ENGINE_PATHS
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointUnsupportedError
from dogwoodpost.ports.endpoint_client import CacheEventBatch
from dogwoodpost.ports.endpoint_client import EndpointClient
from dogwoodpost.ports.endpoint_client import EndpointResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.endpoint_client import EndpointRequest

# Engines send a keep-alive at least every 10 s; two may be late. Other
# services may take all of the request's time limit for the head.
IDLE_TIMEOUT_S = 20.0
CONTROL_TIMEOUT_S = 5.0
LOAD_TIMEOUT_S = 1.0
# Loading weights moves gigabytes; 17 s is the target for all samplers.
COMMAND_TIMEOUT_S = 60.0
_MAX_CHUNK_BYTES = 64 * 1024

# The entry removes keys; this is the second line of defence.
_SECRET_HEADERS = frozenset(
    {'authorization', 'proxy-authorization', 'cookie', 'x-api-key'}
)
# The library writes them anew.
_WRITTEN_BY_LIBRARY = frozenset({'content-length', 'host'})
# The library would add them to requests that do not have them.
_ADDED_BY_LIBRARY = (
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
# The path of an order, and the field that holds its argument.
_COMMANDS = {
    _Action.LOAD_WEIGHTS: ('/control/weights/load', 'weight_version'),
    _Action.SWITCH_WEIGHTS: ('/control/weights/switch', 'weight_version'),
    _Action.LOAD_ADAPTER: ('/control/adapters/load', 'adapter'),
    _Action.LOAD_MODEL: ('/control/models/load', 'model'),
    _Action.SET_ROLE: ('/control/role', 'role'),
}
_CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class _Load(msgspec.Struct):
    running_count: int
    waiting_count: int
    running_tokens: int = 0
    age_ms: int = 0
    weight_version: int | None = None


class HttpEndpointResponse(EndpointResponse):
    """An answer over HTTP."""

    def __init__(
        self, response: aiohttp.ClientResponse, idle_timeout_s: float
    ) -> None:
        self._response = response
        self._idle_timeout_s = idle_timeout_s
        self.status = response.status
        self.headers = end_to_end_headers(
            response.headers.items(), _WRITTEN_BY_LIBRARY
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        :raises EndpointError: the body broke off, or nothing came for the
            idle time-out.
        """
        content = self._response.content
        while True:
            try:
                async with asyncio.timeout(self._idle_timeout_s):
                    data = await content.readany()
            except TimeoutError:
                raise EndpointError(
                    f'no bytes for {self._idle_timeout_s} s'
                ) from None
            except _CALL_ERRORS as error:
                raise EndpointError(f'body broke off: {error!r}') from error
            if not data:
                return
            for start in range(0, len(data), _MAX_CHUNK_BYTES):
                yield data[start : start + _MAX_CHUNK_BYTES]


class HttpEndpointClient(EndpointClient):
    """Calls one endpoint; does not own the session."""

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
        """Send a request and open its answer.

        :raises EndpointError: no answer came.
        """
        response = await self._open(request)
        try:
            yield HttpEndpointResponse(response, self._idle_timeout_s)
        finally:
            # Closes the connection unless the body was read to its end.
            response.close()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request; an unknown id has no effect."""
        with contextlib.suppress(EndpointError):
            await self._control(
                'POST', '/control/cancel', {'request_id': request_id}
            )

    async def load(self) -> messages.EndpointLoad:
        """Return the endpoint's last load report.

        :raises EndpointError: the endpoint did not answer.
        """
        body = await self._control(
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
        """Carry out an order to load, switch or change role.

        :raises EndpointError: the endpoint refused or failed the order.
        """
        if action not in _COMMANDS:
            raise EndpointError(f'{action.value} is no order to an endpoint')
        path, field = _COMMANDS[action]
        body = {
            field: _typed(field, argument),
            'fencing_number': fencing_number,
            'fetch_from': list(fetch_from),
        }
        await self._control('POST', path, body, COMMAND_TIMEOUT_S)

    async def cache_events(self, after: int) -> CacheEventBatch | None:
        """Return the cache events after a number, None without any.

        :raises EndpointError: the endpoint did not answer.
        """
        path = f'/control/cache_events?after={after}'
        batch: CacheEventBatch = _decode(
            await self._control('GET', path), CacheEventBatch
        )
        if batch.cleared or batch.stored or batch.evicted:
            return batch
        return None

    async def _open(self, request: EndpointRequest) -> aiohttp.ClientResponse:
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
                    skip_auto_headers=_ADDED_BY_LIBRARY,
                    timeout=aiohttp.ClientTimeout(total=None),
                    middlewares=(SendOnce(),),
                )
        except TimeoutError:
            raise EndpointError(
                f'no answer within {timeout_s:.3f} s'
            ) from None
        except _CALL_ERRORS as error:
            raise EndpointError(f'no answer: {error!r}') from error

    async def _control(
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
                body = await response.read()
        except TimeoutError:
            raise EndpointError(f'{path}: no answer') from None
        except _CALL_ERRORS as error:
            raise EndpointError(f'{path}: {error!r}') from error
        if response.status in _UNSUPPORTED_STATUSES:
            raise EndpointUnsupportedError(f'{path}: no such path')
        if response.status not in _SUCCESS_STATUSES:
            text = body[:200].decode(errors='replace')
            raise EndpointError(f'{path}: status {response.status}: {text}')
        return body


def _request_headers(request: EndpointRequest) -> list[tuple[str, str]]:
    dropped = _WRITTEN_BY_LIBRARY | _SECRET_HEADERS
    headers = list(end_to_end_headers(request.headers, dropped))
    headers.append((_PRIORITY_HEADER, str(request.priority)))
    remaining_ms = max(1, int(request.timeout_s * 1000))
    headers.append((_TIMEOUT_HEADER, str(remaining_ms)))
    # The caller of a plain service may have named the request itself.
    if all(name.lower() != 'x-request-id' for name, _ in headers):
        headers.append(('X-Request-Id', request.request_id))
    return headers


def _typed(field: str, argument: str) -> str | int:
    if field != 'weight_version':
        return argument
    try:
        return int(argument)
    except ValueError:
        raise EndpointError(f'{argument!r} is no weight version') from None


def _decode(body: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise EndpointError(f'malformed answer: {error}') from None
