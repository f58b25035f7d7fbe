"""Calls an endpoint over HTTP."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import structlog
import yarl

from dogwoodpost.adapters.http.endpoint_response import HttpEndpointResponse
from dogwoodpost.adapters.http.hop_by_hop import without_hop_by_hop
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.messages import EndpointLoad
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.endpoint_client import EndpointClient
from dogwoodpost.ports.endpoint_client import EndpointRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids

# Engines send a keep-alive every few seconds while a request waits.
SILENCE_TIMEOUT_S = 15.0
CONTROL_TIMEOUT_S = 5.0
# Loading weights takes as long as reading them; the order has its own limit.
COMMAND_TIMEOUT_S = 120.0
MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024
PRIORITY_HEADER = 'X-Request-Priority'
REQUEST_ID_HEADER = 'X-Request-Id'
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
# aiohttp sets them for its own connection.
_SET_BY_LIBRARY = frozenset({'content-length', 'expect', 'host'})
_SET_HERE = frozenset(
    {PRIORITY_HEADER.lower(), TIMEOUT_HEADER.lower(), 'cookie'}
)
_ADDED_BY_LIBRARY = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)

_log = structlog.get_logger(__name__)


class _LoadDocument(msgspec.Struct):
    running_count: int
    waiting_count: int
    running_tokens: int = 0
    age_ms: int = 0


class HttpEndpointClient(EndpointClient):
    """Calls one endpoint.

    :param silence_timeout_s: a connection that sends no bytes for this time
        counts as broken, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        endpoint_id: ids.EndpointId,
        *,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._endpoint_id = endpoint_id
        self._silence_timeout_s = silence_timeout_s

    @asynccontextmanager
    async def call(
        self, request: EndpointRequest
    ) -> AsyncIterator[HttpEndpointResponse]:
        """Send a request and open its response.

        :raises EndpointError: no response came.
        """
        response = await self._open(
            request.method,
            request.path,
            headers=_request_headers(request),
            body=request.body,
            timeout_s=request.timeout_s,
        )
        try:
            yield HttpEndpointResponse(response, self._silence_timeout_s)
        finally:
            # Keeps the connection only if the body was read to its end.
            response.release()

    async def cancel(self, request_id: str) -> None:
        """Cancel a request; an unknown id has no effect."""
        try:
            await self._control(
                'POST', '/control/cancel', {'request_id': request_id}
            )
        except EndpointError as error:
            _log.info(
                'endpoint_cancel_failed',
                endpoint_id=self._endpoint_id,
                error=str(error),
            )

    async def load(self) -> EndpointLoad:
        """Return the endpoint's last load report.

        :raises EndpointError: the endpoint did not answer.
        """
        body = await self._control('GET', '/control/load')
        try:
            document = msgspec.json.decode(body, type=_LoadDocument)
        except msgspec.MsgspecError as error:
            raise EndpointError(f'malformed load report: {error}') from error
        return EndpointLoad(
            endpoint_id=self._endpoint_id,
            running_count=document.running_count,
            waiting_count=document.waiting_count,
            running_tokens=document.running_tokens,
            age_ms=document.age_ms,
        )

    async def command(
        self,
        action: EndpointAction,
        argument: str,
        fencing_number: ids.FencingNumber,
    ) -> None:
        """Carry out an order to load, switch or change role.

        :raises EndpointError: the endpoint refused or failed the order.
        """
        path, document = _order(action, argument)
        await self._control(
            'POST',
            path,
            {**document, 'fencing_number': fencing_number},
            timeout_s=COMMAND_TIMEOUT_S,
        )

    async def _control(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        *,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> bytes:
        response = await self._open(
            method,
            path,
            headers=(('Content-Type', 'application/json'),),
            body=b'' if document is None else msgspec.json.encode(document),
            timeout_s=timeout_s,
            silence_timeout_s=timeout_s,
        )
        body = bytearray()
        try:
            reader = HttpEndpointResponse(response, timeout_s)
            async for chunk in reader.chunks():
                body += chunk
                if len(body) > MAX_CONTROL_BODY_BYTES:
                    raise EndpointError(f'{path}: the response is too large')
        finally:
            response.release()
        if not 200 <= response.status < 300:
            detail = body[:200].decode('utf-8', 'replace')
            raise EndpointError(f'{path}: status {response.status}: {detail}')
        return bytes(body)

    async def _open(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        timeout_s: float,
        silence_timeout_s: float | None = None,
    ) -> aiohttp.ClientResponse:
        if not path.startswith('/'):
            raise EndpointError(f'not a path: {path!r}')
        try:
            async with asyncio.timeout(
                silence_timeout_s or self._silence_timeout_s
            ):
                return await self._session.request(
                    method,
                    yarl.URL(self._base_url + path, encoded=True),
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                    auto_decompress=False,
                    skip_auto_headers=_ADDED_BY_LIBRARY,
                    timeout=aiohttp.ClientTimeout(total=timeout_s),
                    middlewares=(_send_once,),
                )
        except TimeoutError as error:
            raise EndpointError('no response within the time limit') from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise EndpointError(f'no response: {error!r}') from error


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the library from repeating a request on a broken connection.

    It repeats methods such as PUT and DELETE by itself, although the endpoint
    may have run the first copy.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise EndpointError(f'no response: {error!r}') from error


def _request_headers(
    request: EndpointRequest,
) -> tuple[tuple[str, str], ...]:
    passed = without_hop_by_hop(request.headers, _SET_BY_LIBRARY | _SET_HERE)
    added = [
        (TIMEOUT_HEADER, str(max(1, int(request.timeout_s * 1000)))),
        (PRIORITY_HEADER, str(request.priority)),
    ]
    # Plain services get the id that their caller chose.
    if not any(name.lower() == 'x-request-id' for name, _ in passed):
        added.append((REQUEST_ID_HEADER, request.request_id))
    return (*passed, *added)


def _order(
    action: EndpointAction, argument: str
) -> tuple[str, dict[str, Any]]:
    """Return the path and the body of an order."""
    if action is EndpointAction.LOAD_WEIGHTS:
        return '/control/weights/load', _version(argument)
    if action is EndpointAction.SWITCH_WEIGHTS:
        return '/control/weights/switch', _version(argument)
    if action is EndpointAction.LOAD_ADAPTER:
        return '/control/adapters/load', {'adapter': argument}
    if action is EndpointAction.LOAD_MODEL:
        return '/control/models/load', {'model': argument}
    if action is EndpointAction.SET_ROLE:
        return '/control/role', {'role': argument}
    raise EndpointError(f'engines have no order {action.value}')


def _version(argument: str) -> dict[str, Any]:
    try:
        return {'weight_version': int(argument)}
    except ValueError as error:
        raise EndpointError(f'no weight version: {argument!r}') from error
