"""Calls to endpoints over HTTP, as the platform has them."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import yarl

from dogwoodpost.core import ids
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointSilentError
from dogwoodpost.platform import header_names
from dogwoodpost.platform.connection_counts import EndpointTraceContext
from dogwoodpost.platform.event_stream import EventDecoder
from dogwoodpost.platform.sent_ids import SentIds
from dogwoodpost.platform.sessions import NOT_CONNECTED_ERRORS
from dogwoodpost.ports.endpoint_gateway import EndpointGateway
from dogwoodpost.ports.endpoint_gateway import EndpointNotRunError
from dogwoodpost.ports.endpoint_gateway import EndpointReply
from dogwoodpost.ports.endpoint_gateway import EngineReport
from dogwoodpost.ports.endpoint_gateway import NotRunReason
from dogwoodpost.ports.endpoint_gateway import OrderOutcome
from dogwoodpost.ports.endpoint_gateway import SwitchMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler

    from dogwoodpost.core.batches import StreamEvent
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.platform.leave_notices import LeaveNotices
    from dogwoodpost.ports.endpoint_gateway import EndpointCall
    from dogwoodpost.ports.endpoint_gateway import VersionOrder

_CONNECT_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.7
# Ends well before the lease under which an order is sent.
ORDER_TIMEOUT_S = 0.7
_MS_PER_S = 1_000
_STATUS_OK = 200
_STATUS_MISDIRECTED = 421
# The library would add them to requests that do not have them.
_ADDED_BY_LIBRARY = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError)
_MODES = {
    SwitchMode.FINISH_FIRST: 'wait',
    SwitchMode.RESET: 'truncate',
    SwitchMode.CONTINUE: 'retain',
}
_OUTCOMES = {
    200: OrderOutcome.ALREADY_DONE,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
}


class _WireModel(msgspec.Struct, frozen=True):
    name: str
    version: int


class _WireReport(msgspec.Struct, frozen=True):
    """``sequence`` counts the orders that were accepted."""

    sequence: int
    busy: bool = False
    models: tuple[_WireModel, ...] = ()


class _WireOrder(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    operation: str
    model: str
    version: int
    mode: str
    holder: str
    fencing_token: int
    expected: int


class HttpEndpointReply(EndpointReply):
    """A response over HTTP."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        # The connection is given back as soon as the body has ended.
        self._connection = _unframed_connection(response)
        self.status = response.status
        # The ingress sets the length anew; the id stays.
        self.headers = end_to_end_headers(
            response.headers.items(), frozenset({'content-length'})
        )
        self.weight_version = _weight_version(response)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        try:
            async for data in self._response.content.iter_any():
                yield data
        except _CALL_ERRORS as error:
            raise EndpointError(f'body broke off: {error!r}') from error
        self._check_connection_end()

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the whole events of a stream."""
        decoder = EventDecoder()
        async for data in self.chunks():
            for event in decoder.feed(data):
                yield event
        decoder.finish()

    def _check_connection_end(self) -> None:
        """Check that the connection that ends a body was not reset.

        :raises EndpointError: it was; the library takes any end for the
            body's.
        """
        if self._connection is None:
            return
        error = self._connection.exception()
        if isinstance(error, OSError):
            raise EndpointError(f'body broke off: {error!r}')


class HttpEndpointGateway(EndpointGateway):
    """Calls endpoints and checks that their responses belong to the call.

    :param holder_name: name of this process in orders.
    :param fresh_session: opens a new connection for each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        holder_name: str,
        leave_notices: LeaveNotices,
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session
        self._holder_name = holder_name
        self._leave_notices = leave_notices
        self._sent_ids = SentIds()

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AsyncIterator[EndpointReply]:
        """Send a request and receive the head of its response."""
        response = await self._send(endpoint, call)
        try:
            self._leave_notices.handle_response(endpoint, response)
            _check_response(response, call.request_id)
            yield HttpEndpointReply(response)
        finally:
            # Closes the connection unless the body was read to its end.
            response.close()

    async def report(self, endpoint: Endpoint) -> EngineReport:
        """Return an engine's report."""
        status, data = await self._control(
            endpoint, 'GET', '/api/report', None, _REPORT_TIMEOUT_S
        )
        if status != _STATUS_OK:
            raise EndpointError(f'report: status {status}')
        try:
            wire = msgspec.json.decode(data, type=_WireReport)
        except msgspec.MsgspecError as error:
            raise EndpointError(f'report: {error}') from error
        return EngineReport(
            order_sequence=wire.sequence,
            is_busy=wire.busy,
            weight_versions={
                ids.ModelName(model.name): ids.WeightVersion(model.version)
                for model in wire.models
            },
        )

    async def order(
        self,
        endpoint: Endpoint,
        order: VersionOrder,
        before_send: Callable[[], ids.FencingNumber],
    ) -> OrderOutcome:
        """Order a version."""
        wire = _WireOrder(
            operation='version',
            model=order.model,
            version=order.version,
            mode=_MODES[order.mode],
            holder=self._holder_name,
            fencing_token=before_send(),
            expected=order.expected_sequence,
        )
        status, _ = await self._control(
            endpoint,
            'POST',
            '/api/order',
            msgspec.json.encode(wire),
            ORDER_TIMEOUT_S,
        )
        return _OUTCOMES.get(status, OrderOutcome.REFUSED)

    async def _send(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientResponse:
        session = self._session_for(endpoint, call)
        limit_s = call.timeout_s
        if call.head_timeout_s is not None:
            limit_s = min(limit_s, call.head_timeout_s)
        try:
            async with asyncio.timeout(limit_s):
                return await session.request(
                    call.method,
                    _url(endpoint, call.path),
                    headers=_request_headers(endpoint, call),
                    data=call.body or None,
                    allow_redirects=False,
                    skip_auto_headers=_ADDED_BY_LIBRARY,
                    trace_request_ctx=EndpointTraceContext(endpoint.address),
                    timeout=aiohttp.ClientTimeout(
                        total=None, sock_connect=_CONNECT_TIMEOUT_S
                    ),
                )
        except NOT_CONNECTED_ERRORS as error:
            raise EndpointNotRunError(
                NotRunReason.UNREACHABLE, f'unreachable: {error!r}'
            ) from error
        except TimeoutError as error:
            raise EndpointSilentError(
                f'no response in {limit_s:.3f} s'
            ) from error
        except _CALL_ERRORS as error:
            raise EndpointError(f'no response: {error!r}') from error

    def _session_for(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientSession:
        """Return the session whose connections a call may use."""
        is_first = self._sent_ids.record_send(
            endpoint.address, call.request_id
        )
        if is_first and call.may_reuse_connection:
            return self._session
        return self._fresh_session

    async def _control(
        self,
        endpoint: Endpoint,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        headers = {header_names.EXPECTED_ENDPOINT: str(endpoint.endpoint_id)}
        if body is not None:
            headers['Content-Type'] = 'application/json'
        try:
            async with self._session.request(
                method,
                _url(endpoint, path),
                data=body,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=EndpointTraceContext(endpoint.address),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                self._leave_notices.handle_response(endpoint, response)
                return response.status, await response.read()
        except TimeoutError as error:
            raise EndpointError(f'{path}: no answer') from error
        except _CALL_ERRORS as error:
            raise EndpointError(f'{path}: {error!r}') from error


def _url(endpoint: Endpoint, path: str) -> yarl.URL:
    return yarl.URL(f'http://{endpoint.address}{path}', encoded=True)


def _request_headers(
    endpoint: Endpoint, call: EndpointCall
) -> list[tuple[str, str]]:
    dropped = header_names.DROPPED_CLIENT_HEADERS
    if call.resume_after is not None:
        # A client that resumes names the event where its own stream broke.
        dropped |= {header_names.LAST_EVENT_ID.lower()}
    headers = list(end_to_end_headers(call.headers, dropped))
    remaining_ms = max(int(call.timeout_s * _MS_PER_S), 1)
    headers += [
        (header_names.REQUEST_ID, call.request_id),
        (header_names.DEADLINE_MS, str(remaining_ms)),
        (header_names.EXPECTED_ENDPOINT, endpoint.endpoint_id),
    ]
    if call.client_account_id is not None:
        headers.append((header_names.CLIENT_ACCOUNT, call.client_account_id))
    if call.resume_after is not None:
        headers.append((header_names.LAST_EVENT_ID, str(call.resume_after)))
    return headers


def _check_response(
    response: aiohttp.ClientResponse, request_id: ids.RequestId
) -> None:
    """Check that a response belongs to a request and that it has run.

    :raises EndpointNotRunError: the endpoint says that it has not run.
    :raises EndpointError: the response belongs to another request, or has
        not come from the endpoint as it is.
    """
    headers = response.headers
    named_id = headers.get(header_names.REQUEST_ID)
    if named_id not in {None, request_id}:
        raise EndpointError('the response belongs to another request')
    if response.status == _STATUS_MISDIRECTED:
        raise EndpointNotRunError(
            NotRunReason.REPLACED, 'another endpoint has the address'
        )
    if header_names.NOT_RUN in headers:
        raise EndpointNotRunError(
            NotRunReason.OVERLOADED,
            f'not run, status {response.status}',
            _retry_after_s(headers.get(header_names.RETRY_AFTER)),
        )
    if 'Content-Encoding' in headers:
        raise EndpointError('the body has an encoding')
    is_success = 200 <= response.status < 300
    if is_success and header_names.SIGNATURE not in headers:
        raise EndpointError('a success without a signature')
    if is_success and named_id is None:
        # A late copy for an earlier request of the connection may lack it.
        raise EndpointError('a success that names no request')


def _unframed_connection(
    response: aiohttp.ClientResponse,
) -> ResponseHandler | None:
    """Return the connection of a body that ends with it, else None."""
    has_length = 'Content-Length' in response.headers
    if has_length or 'Transfer-Encoding' in response.headers:
        return None
    connection = response.connection
    return connection.protocol if connection is not None else None


def _retry_after_s(value: str | None) -> float | None:
    try:
        return float(value) if value is not None else None
    except ValueError:
        return None


def _weight_version(
    response: aiohttp.ClientResponse,
) -> ids.WeightVersion | None:
    value = response.headers.get(header_names.WEIGHT_VERSION)
    if value is None:
        return None
    try:
        return ids.WeightVersion(int(value))
    except ValueError as error:
        raise EndpointError(f'weight version {value!r}') from error
