"""Runs attempts at endpoints that are called without an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.http_headers import is_event_stream
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.core.streams import is_event_id
from dogwoodpost.core.streams import OrderedEventSplitter
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
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.endpoint_gateway import EndpointReply

# In the HTML standard's section on server-sent events.
_LAST_EVENT_ID = 'last-event-id'
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
                    reply.status, reply.headers, reply.weight_version
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
    """Yield the body; a resumable stream is yielded in whole events."""
    if not spec.resumable or not is_event_stream(reply.headers):
        async for data in reply.chunks():
            yield AttemptData(data)
        return
    splitter = OrderedEventSplitter(
        _resume_point(spec), continues=spec.continues_response
    )
    async for data in reply.chunks():
        piece = splitter.feed(data)
        if piece is not None:
            yield AttemptData(
                piece.data,
                ends_event=piece.can_resume,
                last_event_id=piece.last_event_id,
                has_events=piece.has_events,
            )
    splitter.finish()


def _resume_point(spec: AttemptSpec) -> int | None:
    """Return the id of the event after which the response has to resume.

    A client may itself resume a stream that broke off in an earlier request.
    """
    if spec.resume_after is not None:
        return spec.resume_after
    for name, value in spec.headers:
        if name.lower() == _LAST_EVENT_ID and is_event_id(value.encode()):
            return int(value)
    return None
