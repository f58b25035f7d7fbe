"""Responses of the platform's endpoints, and whether they are valid."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.body_end import BodyEnd
from dogwoodpost.adapters.http.call_errors import CALL_ERRORS
from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.core import ids
from dogwoodpost.core.decoding import parse_integer
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.platform import header_names
from dogwoodpost.platform.event_stream import EventDecoder
from dogwoodpost.ports.endpoint_gateway import EndpointNotRunError
from dogwoodpost.ports.endpoint_gateway import EndpointReply
from dogwoodpost.ports.endpoint_gateway import NotRunReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from dogwoodpost.core.batches import StreamEvent

_STATUS_MISDIRECTED = 421


class HttpEndpointReply(EndpointReply):
    """A response over HTTP."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._body_end = BodyEnd(response)
        self.ends_with_connection = self._body_end.is_connection_end
        self.status = response.status
        self.headers = end_to_end_headers(response.headers.items())
        self.weight_version = _weight_version(response)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""
        try:
            async for data in self._response.content.iter_any():
                yield data
        except CALL_ERRORS as error:
            raise EndpointError(
                f'response body ended early: {call_failure(error)}'
            ) from error
        self._body_end.check_not_reset()

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events of a stream, each once it is complete."""
        decoder = EventDecoder()
        async for data in self.chunks():
            for event in decoder.feed(data):
                yield event
        decoder.finish()


def check_response(
    response: aiohttp.ClientResponse, request_id: ids.RequestId
) -> None:
    """Check that a response belongs to a request and that it was run.

    :raises EndpointNotRunError: the endpoint states that it has not run the
        request.
    :raises EndpointError: the response belongs to another request, or is not
        in the form in which an endpoint sends it.
    """
    headers = response.headers
    response_id = headers.get(header_names.REQUEST_ID)
    if response_id not in {None, request_id}:
        raise EndpointError('the response belongs to another request')
    if response.status == _STATUS_MISDIRECTED:
        raise EndpointNotRunError(
            NotRunReason.REPLACED, 'another endpoint now uses the address'
        )
    if header_names.NOT_RUN in headers:
        raise EndpointNotRunError(
            NotRunReason.OVERLOADED,
            f'endpoint has not run the request, status {response.status}',
            _retry_after_s(headers.get(header_names.RETRY_AFTER)),
        )
    if 'Content-Encoding' in headers:
        raise EndpointError('response has a Content-Encoding')
    is_success = is_success_status(response.status)
    if is_success and header_names.SIGNATURE not in headers:
        raise EndpointError('successful response has no signature')
    if is_success and response_id is None:
        # It may be a late duplicate of the response to an earlier request on
        # the connection.
        raise EndpointError('successful response has no request id')


def _retry_after_s(value: str | None) -> float | None:
    try:
        delay_s = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return delay_s if 0.0 <= delay_s < math.inf else None


def _weight_version(
    response: aiohttp.ClientResponse,
) -> ids.WeightVersion | None:
    value = response.headers.get(header_names.WEIGHT_VERSION)
    if value is None:
        return None
    try:
        return ids.WeightVersion(parse_integer(value))
    except MalformedDataError as error:
        raise EndpointError(f'malformed weight version: {error}') from error
