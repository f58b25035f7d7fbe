"""Runs attempts at endpoints that are called without an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.http_headers import is_event_stream
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.core.streams import EventScanner
from dogwoodpost.core.streams import OrderedEventSplitter
from dogwoodpost.core.streams import requested_resume_point
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptRunner
from dogwoodpost.ports.endpoint_gateway import EndpointCall
from dogwoodpost.ports.endpoint_gateway import EndpointNotRunError
from dogwoodpost.ports.endpoint_gateway import NotRunReason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.streams import EventChunk
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.endpoint_gateway import EndpointReply

# None counts as a failure of the endpoint.
_REFUSAL_REASONS = {
    NotRunReason.UNREACHABLE: None,
    NotRunReason.OVERLOADED: RefusalReason.OVERLOADED,
    NotRunReason.REPLACED: RefusalReason.UNKNOWN_ENDPOINT,
}


class DirectAttemptRunner(AttemptRunner):
    """Runs each attempt as one call through the endpoint gateway."""

    def __init__(self, gateway: EndpointGateway) -> None:
        self._gateway = gateway

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        """Yield the head, the body and the end of the response.

        :raises AttemptNotRunError: the endpoint refused the call or could not
            be reached.
        :raises AttemptOutcomeUnknownError: the call failed after the endpoint
            may have run it.
        """
        call = EndpointCall(
            request_id=spec.request_id,
            method=spec.method,
            path=spec.path,
            headers=spec.headers,
            body=spec.body,
            timeout_s=spec.timeout_s,
            client_account_id=spec.client_account_id,
            resume_after=spec.resume_after,
            may_reuse_connection=spec.idempotent,
            max_idle_s=spec.max_idle_s,
        )
        try:
            async with self._gateway.open(endpoint, call) as reply:
                yield AttemptHead(
                    reply.status,
                    reply.headers,
                    reply.weight_version,
                    reply.ends_with_connection,
                )
                async for data in _body_events(reply, spec):
                    yield data
        except EndpointNotRunError as error:
            raise AttemptNotRunError(
                _REFUSAL_REASONS[error.reason], str(error), error.retry_after_s
            ) from error
        except EndpointError as error:
            raise AttemptOutcomeUnknownError(str(error)) from error
        yield AttemptEnd(
            outcome=AttemptOutcome.COMPLETED,
            detail='',
            weight_versions=(),
            prompt_tokens=0,
            cached_tokens=0,
            completion_tokens=0,
        )


async def _body_events(
    reply: EndpointReply, spec: AttemptSpec
) -> AsyncIterator[AttemptData]:
    """Yield the body; a resumable stream is yielded in whole events.

    :raises EndpointError: the body ended early.
    """
    if not is_event_stream(reply.headers):
        async for data in reply.chunks():
            yield AttemptData(data)
        return
    body = _whole_events(reply, spec) if spec.resumable else _stream(reply)
    async for part in body:
        yield part


async def _whole_events(
    reply: EndpointReply, spec: AttemptSpec
) -> AsyncIterator[AttemptData]:
    """Yield the events of a stream, each once it is complete."""
    resume_after = spec.resume_after
    if resume_after is None:
        resume_after = requested_resume_point(spec.headers)
    splitter = OrderedEventSplitter(
        resume_after, continues=spec.continues_response
    )
    async for data in reply.chunks():
        chunk = splitter.feed(data)
        if chunk is not None:
            yield _attempt_data(chunk)
    chunk = splitter.finish()
    if chunk is not None:
        yield _attempt_data(chunk)


async def _stream(reply: EndpointReply) -> AsyncIterator[AttemptData]:
    """Yield the bytes of a stream as they arrive."""
    scanner = EventScanner()
    async for data in reply.chunks():
        scanner.feed(data)
        yield AttemptData(data, has_events=scanner.has_events)
    if reply.ends_with_connection:
        scanner.check_end()


def _attempt_data(chunk: EventChunk) -> AttemptData:
    return AttemptData(
        chunk.data,
        ends_event=chunk.can_resume,
        last_event_id=chunk.last_event_id,
        has_events=chunk.has_events,
    )
