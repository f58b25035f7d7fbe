"""Responds to callers' requests."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import Protocol
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.core.http_headers import EVENT_STREAM
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.http.active_requests import RequestPhase
from dogwoodpost.services.entry.http.error_body import error_event
from dogwoodpost.services.entry.http.header_filter import response_headers
from dogwoodpost.services.entry.http.request_reader import REQUEST_ID_HEADER
from dogwoodpost.services.entry.http.response_end import reset_unless_ended
from dogwoodpost.services.entry.http.used_request_ids import UsedRequestIds
from dogwoodpost.services.entry.refusals import count_refusal

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.http.active_requests import ActiveRequest
    from dogwoodpost.services.entry.http.request_body import BodyMemory
    from dogwoodpost.services.entry.http.request_body import BodyReservation
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline

# A caller that reads nothing for this long is disconnected, because its
# response occupies memory and its request a slot at the engine.
_WRITE_TIMEOUT_S = 30.0


class Reader(Protocol):
    """Checks HTTP requests and converts them into pipeline requests."""

    memory: BodyMemory

    async def read(
        self,
        request: web.Request,
        active: ActiveRequest,
        reservation: BodyReservation,
    ) -> PipelineRequest:
        """Return the checked request.

        :raises RequestError: the request is refused.
        """


class RequestHandler:
    """Runs requests through the pipeline and writes their responses.

    :param ends_streams_with_error: a stream that fails ends with an error
        event; otherwise its connection is closed.
    """

    def __init__(
        self,
        pipeline: RequestPipeline,
        reader: Reader,
        *,
        ends_streams_with_error: bool = True,
    ) -> None:
        self._ends_streams_with_error = ends_streams_with_error
        self._pipeline = pipeline
        self._reader = reader
        self._used_ids = UsedRequestIds()

    async def handle(
        self, request: web.Request, active: ActiveRequest
    ) -> web.StreamResponse:
        """Run a request and write its response.

        :raises RequestError: the request was refused or failed before the
            response began.
        """
        with self._reader.memory.reservation() as reservation:
            with active.cancellation_as_error():
                pipeline_request = await self._reader.read(
                    request, active, reservation
                )
            active.route_name = pipeline_request.route.name
            active.request_id = pipeline_request.request_id
            if REQUEST_ID_HEADER not in request.headers:
                return await self._respond(request, pipeline_request, active)
            return await self._respond_unless_duplicate(
                request, pipeline_request, active
            )

    async def _respond_unless_duplicate(
        self,
        request: web.Request,
        pipeline_request: PipelineRequest,
        active: ActiveRequest,
    ) -> web.StreamResponse:
        """Respond to a request whose id must not have been used before."""
        account_id = pipeline_request.client_account_id or ''
        now_s = self._pipeline.clock.monotonic_s()
        self._used_ids.remember(
            account_id,
            pipeline_request.request_id,
            pipeline_request.timeout_s,
            now_s,
        )
        try:
            return await self._respond(request, pipeline_request, active)
        except RequestError as error:
            if error.not_run:
                self._used_ids.forget(account_id, pipeline_request.request_id)
            raise
        except asyncio.CancelledError:
            if active.phase is RequestPhase.WAITING:
                self._used_ids.forget(account_id, pipeline_request.request_id)
            raise

    async def _respond(
        self,
        request: web.Request,
        pipeline_request: PipelineRequest,
        active: ActiveRequest,
    ) -> web.StreamResponse:
        def attempt_started(endpoint_id: ids.EndpointId) -> None:
            active.phase = RequestPhase.RUNNING

        events = self._pipeline.execute(
            pipeline_request, on_attempt=attempt_started
        )
        async with aclosing(events):
            with active.cancellation_as_error():
                head = await anext(events)
            if not isinstance(head, AttemptHead):
                raise RequestError(
                    'endpoint_failed',
                    'the response has no head',
                    status=502,
                )
            response = web.StreamResponse(status=head.status)
            response.headers.extend(response_headers(head.headers))
            response.headers[REQUEST_ID_HEADER] = pipeline_request.request_id
            await response.prepare(request)
            active.phase = RequestPhase.STREAMING
            await self._write_body(request, response, events, active)
        return response

    async def _write_body(
        self,
        request: web.Request,
        response: web.StreamResponse,
        events: AsyncGenerator[AttemptEvent, None],
        active: ActiveRequest,
    ) -> None:
        try:
            async with reset_unless_ended(request, response, _WRITE_TIMEOUT_S):
                with active.cancellation_as_error():
                    async for event in events:
                        if isinstance(event, AttemptData):
                            await _write(request, response, event.data)
                    active.phase = RequestPhase.FINISHED
        except RequestError as error:
            count_refusal(self._pipeline.metrics, error)
            await self._fail_response(request, response, error)

    async def _fail_response(
        self,
        request: web.Request,
        response: web.StreamResponse,
        error: RequestError,
    ) -> None:
        """End a response that has begun so that it doesn't look complete."""
        is_event_stream = response.content_type == EVENT_STREAM
        if is_event_stream and self._ends_streams_with_error:
            await _write(request, response, error_event(error))
        elif request.transport is not None:
            # The caller detects the failure by the missing end of the body.
            request.transport.close()


async def _write(
    request: web.Request, response: web.StreamResponse, data: bytes
) -> None:
    """Write a part of the response body.

    :raises ConnectionResetError: the caller did not read within the timeout.
    """
    try:
        async with asyncio.timeout(_WRITE_TIMEOUT_S):
            await response.write(data)
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError(
            'the caller has stopped reading the response'
        ) from None
