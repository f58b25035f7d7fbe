"""HTTP client for the endpoints of the platform."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.adapters.http.call_errors import CALL_ERRORS
from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.pooled_connector import limited_idle_time
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.http.send_once import MAY_REPEAT
from dogwoodpost.adapters.http.send_once import NOT_CONNECTED_ERRORS
from dogwoodpost.core import ids
from dogwoodpost.core.decoding import BoundedInteger
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointSilentError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import PlatformError
from dogwoodpost.platform import header_names
from dogwoodpost.platform.connection_counts import EndpointTraceContext
from dogwoodpost.platform.endpoint_reply import check_response
from dogwoodpost.platform.endpoint_reply import HttpEndpointReply
from dogwoodpost.platform.guarded_calls import guarded_post
from dogwoodpost.platform.guarded_calls import same_lease
from dogwoodpost.platform.sent_ids import SentIds
from dogwoodpost.platform.sessions import unchanged_url
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

    import yarl

    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.platform.leave_notices import LeaveNotices
    from dogwoodpost.ports.endpoint_gateway import EndpointCall
    from dogwoodpost.ports.endpoint_gateway import VersionOrder

_CONNECT_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.7
_REPORT_PATH = '/api/report'
# Reports of engines with many models have some KB.
_MAX_REPORT_BYTES = 1024 * 1024
_ORDER_PATH = '/api/order'
_MS_PER_S = 1_000
_STATUS_OK = 200
# Headers that aiohttp would add to requests that lack them.
_AIOHTTP_DEFAULT_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)
_WIRE_MODES = {
    SwitchMode.FINISH_FIRST: 'wait',
    SwitchMode.RESET: 'truncate',
    SwitchMode.CONTINUE: 'retain',
}
_OUTCOME_BY_STATUS = {
    200: OrderOutcome.ALREADY_DONE,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
}


class _WireModel(msgspec.Struct, frozen=True):
    name: str
    version: BoundedInteger


class _WireReport(msgspec.Struct, frozen=True):
    """Report of an engine.

    :param sequence: number of orders that the engine has accepted.
    :param busy: an order is being carried out.
    """

    sequence: BoundedInteger
    busy: bool = False
    models: tuple[_WireModel, ...] = ()


class _WireOrder(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Order to an engine.

    :param holder: name of the process that sends the order.
    :param expected: ``sequence`` that the engine must have to carry it out.
    """

    operation: str
    model: str
    version: int
    mode: str
    holder: str
    fencing_token: int
    expected: int


class HttpEndpointGateway(EndpointGateway):
    """Calls endpoints and checks that responses belong to their calls.

    :param session: keeps connections for later calls.
    :param fresh_session: opens a new connection for each call.
    :param guarded_session: session for orders, which need a lease.
    :param holder_name: name of this process in orders.
    :param leave_notices: receives the headers of all responses.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        guarded_session: aiohttp.ClientSession,
        holder_name: str,
        leave_notices: LeaveNotices,
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session
        self._guarded_session = guarded_session
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
            check_response(response, call.request_id)
            yield HttpEndpointReply(response)
        finally:
            # Closes the connection unless the body was read to its end.
            response.close()

    async def report(self, endpoint: Endpoint) -> EngineReport:
        """Request and return an engine's report."""
        status, data = await self._read_report(endpoint)
        if status != _STATUS_OK:
            raise EndpointError(f'engine report failed with status {status}')
        try:
            wire = decode_json(data, _WireReport)
        except MalformedDataError as error:
            raise EndpointError(f'malformed engine report: {error}') from error
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
        """Order an engine to load a weight version of a model."""
        number = before_send()
        wire = _WireOrder(
            operation='version',
            model=order.model,
            version=order.version,
            mode=_WIRE_MODES[order.mode],
            holder=self._holder_name,
            fencing_token=number,
            expected=order.expected_sequence,
        )
        try:
            async with guarded_post(
                self._guarded_session,
                _url(endpoint, _ORDER_PATH),
                msgspec.json.encode(wire),
                headers={
                    header_names.EXPECTED_ENDPOINT: str(endpoint.endpoint_id)
                },
                before_send=same_lease(before_send, number),
                trace_request_ctx=EndpointTraceContext(endpoint.address),
            ) as response:
                self._leave_notices.handle_response(endpoint, response)
                status = response.status
        except PlatformError as error:
            raise EndpointError(str(error)) from error
        return _OUTCOME_BY_STATUS.get(status, OrderOutcome.REFUSED)

    async def _send(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its response."""
        response_timeout_s = call.timeout_s
        if call.head_timeout_s is not None:
            response_timeout_s = min(response_timeout_s, call.head_timeout_s)
        try:
            with limited_idle_time(call.max_idle_s):
                async with asyncio.timeout(response_timeout_s):
                    return await self._request(endpoint, call)
        except NOT_CONNECTED_ERRORS as error:
            raise EndpointNotRunError(
                NotRunReason.UNREACHABLE,
                f'endpoint is unreachable: {call_failure(error)}',
            ) from error
        except TimeoutError as error:
            raise EndpointSilentError(
                f'no response headers within {response_timeout_s:.3f} s'
            ) from error
        except CALL_ERRORS as error:
            raise EndpointError(
                f'call failed without a response: {call_failure(error)}'
            ) from error

    async def _request(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientResponse:
        session = self._session_for(endpoint, call)
        return await session.request(
            call.method,
            _url(endpoint, call.path),
            headers=_request_headers(endpoint, call),
            data=call.body or None,
            allow_redirects=False,
            skip_auto_headers=_AIOHTTP_DEFAULT_HEADERS,
            trace_request_ctx=EndpointTraceContext(endpoint.address),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
        )

    def _session_for(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> aiohttp.ClientSession:
        """Return the session to send a call with.

        An id that was sent to the address before needs a new connection; see
        ``SentIds``.
        """
        is_first = self._sent_ids.record_send(
            endpoint.address, call.request_id
        )
        if is_first and call.may_reuse_connection:
            return self._session
        return self._fresh_session

    async def _read_report(self, endpoint: Endpoint) -> tuple[int, bytes]:
        try:
            async with self._session.get(
                _url(endpoint, _REPORT_PATH),
                headers={
                    header_names.EXPECTED_ENDPOINT: str(endpoint.endpoint_id)
                },
                allow_redirects=False,
                middlewares=MAY_REPEAT,
                trace_request_ctx=EndpointTraceContext(endpoint.address),
                timeout=aiohttp.ClientTimeout(
                    total=_REPORT_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                self._leave_notices.handle_response(endpoint, response)
                data = await read_body(response, max_bytes=_MAX_REPORT_BYTES)
                return response.status, data
        except TimeoutError as error:
            raise EndpointError('no engine report in time') from error
        except CALL_ERRORS as error:
            raise EndpointError(
                f'no engine report: {call_failure(error)}'
            ) from error


def _url(endpoint: Endpoint, path: str) -> yarl.URL:
    return unchanged_url(endpoint.address, path)


def _request_headers(
    endpoint: Endpoint, call: EndpointCall
) -> list[tuple[str, str]]:
    excluded_names = header_names.DROPPED_CLIENT_HEADERS
    if call.resume_after is not None:
        # A client that resumes a stream sends the id of the event where its
        # own stream broke off; ``call.resume_after`` replaces it.
        excluded_names |= {header_names.LAST_EVENT_ID.lower()}
    headers = list(end_to_end_headers(call.headers, excluded_names))
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
