"""Result of an attempt at its entry, from parts that arrive or are lost."""

from __future__ import annotations

import pytest

from dogwoodpost.core import messages
from dogwoodpost.core.attempts import EntryAttempt
from dogwoodpost.core.attempts.entry_attempt import MAX_BUFFERED_COUNT
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError

AGENT = {
    'sender_id': 'agent',
    'sender_incarnation': 'a1',
    'sender_address': 'agent',
    'attempt_id': 'x',
}
RESTARTED = {**AGENT, 'sender_incarnation': 'a2'}
HEAD = messages.ResponseHead(**AGENT, status=200, headers=())
END = messages.ResponseEnd(
    **AGENT, chunk_count=2, outcome=messages.AttemptOutcome.COMPLETED
)
DRAINING = messages.RefusalReason.DRAINING
REFUSED = messages.AttemptRefused(**AGENT, reason=DRAINING)


def chunk(index: int) -> messages.ResponseChunk:
    return messages.ResponseChunk(
        **AGENT, index=index, data=str(index).encode()
    )


def make_attempt() -> EntryAttempt:
    return EntryAttempt('x', 'a1', 5.0, 0.0)


NOT_RUN = AttemptNotRunError
UNKNOWN = AttemptOutcomeUnknownError
EXPECTED_ERRORS = [
    ([REFUSED], NOT_RUN),
    ([messages.AttemptMissing(**AGENT, restarted=False)], NOT_RUN),
    ([messages.AttemptMissing(**AGENT, restarted=True)], UNKNOWN),
    ([messages.AttemptMissing(**RESTARTED, restarted=False)], UNKNOWN),
    ([messages.AttemptRefused(**RESTARTED, reason=DRAINING)], UNKNOWN),
    ([HEAD, messages.AttemptMissing(**RESTARTED, restarted=False)], UNKNOWN),
    ([HEAD, REFUSED], type(None)),
    ([chunk(1), REFUSED], type(None)),
    *(
        ([messages.ResponseHead(**AGENT, status=status, headers=())], UNKNOWN)
        for status in (-1, 0, 99, 100, 101, 199, 600, 999)
    ),
    ([messages.ResponseHead(**AGENT, status=599, headers=())], type(None)),
    *(
        ([messages.ResponseHead(**AGENT, status=200, headers=(h,))], UNKNOWN)
        for h in (('Upgrade ', 'a'), ('', 'a'), ('X-A', 'a\x0b'))
    ),
]


@pytest.mark.parametrize(('parts', 'error'), EXPECTED_ERRORS)
def test_error_by_received_parts(parts: list[object], error: type) -> None:
    """Guards against reporting "not run" for an attempt that may have run."""
    attempt = make_attempt()
    for part in parts:
        attempt.receive(part, 0.1)
    assert type(attempt.error) is error


def test_refusal_after_the_deadline_is_inconclusive() -> None:
    """Guards against trusting an agent that has forgotten the attempt."""
    attempt = make_attempt()
    attempt.receive(REFUSED, 60.0)
    assert type(attempt.error) is UNKNOWN


def test_reordered_and_repeated_parts() -> None:
    """Guards against a body that is out of order or ends too early."""
    attempt = make_attempt()
    events = []
    for part in (END, chunk(1), chunk(1), HEAD, chunk(0), chunk(0)):
        assert not attempt.done
        attempt.receive(part, 0.1)
        events += attempt.take_events()
        if attempt.done:
            break
    data = [e.data for e in events if isinstance(e, AttemptData)]
    assert data == [b'0', b'1']
    assert isinstance(events[-1], AttemptEnd)


def test_gap_is_fetched_once_per_period() -> None:
    """Guards against lost chunks and excessive fetches."""
    attempt = make_attempt()
    for part in (HEAD, chunk(1), END):
        attempt.receive(part, 1.0)
    attempt.take_events()
    times = [1.0 + tenth / 10 for tenth in range(15)]
    assert sum(attempt.poll(now_s) for now_s in times) == 2
    assert attempt.next_index == 0


def test_slow_consumer_bounds_the_buffer() -> None:
    """Guards against unbounded memory, and loss of chunks that did not fit."""
    attempt = make_attempt()
    attempt.receive(HEAD, 0.1)
    count = MAX_BUFFERED_COUNT + 10
    for index in range(count):
        attempt.receive(chunk(index), 0.1)
    assert not attempt.poll(1.0)
    assert len(attempt.take_events()) == MAX_BUFFERED_COUNT + 1
    for index in range(count):
        attempt.receive(chunk(index), 1.1)
    assert len(attempt.take_events()) == 10


def test_dropped_response_ends_in_a_failure() -> None:
    """Guards against waiting for chunks that the agent has dropped."""
    attempt = make_attempt()
    attempt.receive(END, 0.1)
    lost = messages.ResponseEnd(
        **AGENT,
        chunk_count=0,
        outcome=messages.AttemptOutcome.ENDPOINT_FAILED,
    )
    attempt.receive(lost, 0.2)
    (end,) = attempt.take_events()
    assert end.outcome is messages.AttemptOutcome.ENDPOINT_FAILED
