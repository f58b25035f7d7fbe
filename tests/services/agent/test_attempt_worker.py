"""The attempt worker with faulty endpoints and connections."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.core import messages
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError
from dogwoodpost.observability import Metrics
from dogwoodpost.services.agent.attempt_worker import AttemptWorker
from tests.core.attempts.test_agent_attempts import ENDPOINT
from tests.core.attempts.test_agent_attempts import make_agent
from tests.core.attempts.test_agent_attempts import start
from tests.fakes.site import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.attempts import AgentAttempts

STREAM = 'text/event-stream; charset=utf-8'
DONE = b'data: [DONE]\n\n'


class FakeResponse:
    status = 200

    def __init__(
        self,
        content_type: str,
        steps: list[object],
        ends_with_connection: bool = False,
    ) -> None:
        self.ends_with_connection = ends_with_connection
        self.headers = (('Content-Type', content_type),)
        self._steps = steps

    async def chunks(self) -> AsyncIterator[bytes]:
        for step in self._steps:
            if isinstance(step, Exception):
                raise step
            yield step
            await asyncio.sleep(0)


class FakeClient:
    def __init__(
        self,
        content_type: str,
        steps: list[object],
        ends_with_connection: bool = False,
    ) -> None:
        self._response = FakeResponse(
            content_type, steps, ends_with_connection
        )
        self.cancelled: list[str] = []

    @contextlib.asynccontextmanager
    async def call(self, request: object) -> AsyncIterator[FakeResponse]:
        yield self._response

    async def cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)


class FakeTransport:
    """Records the sent messages; fails each send while ``broken``."""

    def __init__(self) -> None:
        self.sent: list[messages.AnyMessage] = []
        self.broken = False

    async def send(self, address: str, message: messages.AnyMessage) -> None:
        if self.broken:
            raise TransportError('broken')
        self.sent.append(message)


async def run(
    agent: AgentAttempts,
    client: FakeClient,
    transport: FakeTransport,
    path: str = '/v1/completions',
) -> messages.ResponseEnd:
    worker = AttemptWorker(
        agent, {ENDPOINT: client}, transport, BoottimeClock(), Metrics()
    )
    message = start(path=path, remaining_ms=60_000)
    # Deadlines of the record are compared with the worker's clock.
    record = agent.start(message, BoottimeClock().monotonic_s())
    worker.start(record, message)
    await eventually(lambda: record.end is not None)
    await worker.close()
    return record.end


FAULTS = [
    (STREAM, [b'data: {}\n\n', DONE], AttemptOutcome.COMPLETED),
    (STREAM, [b'data: {}\n\n'], AttemptOutcome.ENDPOINT_FAILED),
    (STREAM, [DONE[:7]], AttemptOutcome.ENDPOINT_FAILED),
    (STREAM, [EndpointError('broke off')], AttemptOutcome.ENDPOINT_FAILED),
    (STREAM, [RuntimeError('a fault')], AttemptOutcome.ENDPOINT_FAILED),
    ('application/json', [b'{}'], AttemptOutcome.COMPLETED),
    ('application/json', [b'x' * 5_000], AttemptOutcome.ENDPOINT_FAILED),
]


@pytest.mark.parametrize(('content_type', 'steps', 'outcome'), FAULTS)
async def test_incomplete_response_is_not_completed(
    content_type: str, steps: list[object], outcome: AttemptOutcome
) -> None:
    """Guards against a truncated response that ends as COMPLETED.

    An endpoint can break off a stream, fail, or exceed the size limit.
    """
    agent = make_agent(retained_bytes=4_000)
    agent.record_hello(1, BoottimeClock().monotonic_s())
    client = FakeClient(content_type, steps)
    transport = FakeTransport()
    end = await run(agent, client, transport)
    assert end.outcome is outcome
    assert agent.running_count() == 0
    await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('data', 'is_whole'),
    [
        (b'', False),
        (b': comment\n\n', False),
        (b'data: a', False),
        (b'data: a\n', False),
        (b'data: a\n\n', True),
        (b'data: a\r\n\r\n: comment\r\n', True),
        (b'data: a\n\ndata: b', False),
    ],
)
@pytest.mark.parametrize('ends_with_connection', [False, True])
async def test_stream_without_a_length_ends_after_an_event(
    data: bytes, is_whole: bool, ends_with_connection: bool
) -> None:
    """Guards against a plain service's broken stream that looks whole."""
    agent = make_agent()
    agent.record_hello(1, BoottimeClock().monotonic_s())
    client = FakeClient(STREAM, [data], ends_with_connection)
    end = await run(agent, client, FakeTransport(), path='/events')
    outcome = AttemptOutcome.COMPLETED
    if ends_with_connection and not is_whole:
        outcome = AttemptOutcome.ENDPOINT_FAILED
    assert end.outcome is outcome


async def test_response_outlives_a_broken_connection() -> None:
    """Guards against losing a response when its connection breaks.

    The endpoint must finish, and the entry must be able to fetch all parts.
    """
    agent = make_agent()
    agent.record_hello(1, BoottimeClock().monotonic_s())
    transport = FakeTransport()
    transport.broken = True
    client = FakeClient('application/json', [b'{', b'}'])
    end = await run(agent, client, transport)
    assert transport.sent == []
    fetch = messages.FetchAttempt(
        sender_id='entry',
        sender_incarnation='e1',
        sender_address='entry',
        attempt_id='x',
        remaining_ms=0,
        next_index=0,
    )
    head, *chunks, last = agent.fetch(fetch, 0.0)
    assert head.status == 200
    assert b''.join(chunk.data for chunk in chunks) == b'{}'
    assert last == end
