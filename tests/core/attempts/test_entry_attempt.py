"""Order, gaps and outcome of an attempt at the entry."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.entry_attempt import EntryAttempt
from dogwoodpost.core.attempts.entry_attempt import EntryAttemptState
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason

ID = ids.AttemptId('attempt')
OPEN = EntryAttemptState.OPEN
ENDED = EntryAttemptState.ENDED
NOT_RUN = EntryAttemptState.NOT_RUN
UNKNOWN = EntryAttemptState.UNKNOWN


def sender(incarnation='agent-1'):
    return {
        'sender_id': ids.ProcessId('agent'),
        'sender_incarnation': ids.Incarnation(incarnation),
        'sender_address': 'agent:1',
        'attempt_id': ID,
    }


HEAD = messages.ResponseHead(**sender(), status=200, headers=())
CHUNKS = [
    messages.ResponseChunk(**sender(), index=index, data=b'%d' % index)
    for index in range(3)
]


def end(outcome=AttemptOutcome.COMPLETED, count=3):
    return messages.ResponseEnd(
        **sender(), chunk_count=count, outcome=outcome
    )


def refused(incarnation='agent-1'):
    return messages.AttemptRefused(
        **sender(incarnation), reason=RefusalReason.DRAINING
    )


def missing(incarnation='agent-1', restarted=False):
    return messages.AttemptMissing(**sender(incarnation), restarted=restarted)


def new_attempt(max_buffered_bytes=100):
    return EntryAttempt(
        ID,
        ids.Incarnation('agent-1'),
        deadline_s=10.0,
        now_s=0.0,
        max_buffered_bytes=max_buffered_bytes,
    )


@pytest.mark.parametrize(
    'order',
    [
        [HEAD, *CHUNKS, end()],
        [end(), *reversed(CHUNKS), HEAD],
        [CHUNKS[1], HEAD, CHUNKS[0], CHUNKS[0], end(), CHUNKS[1], CHUNKS[2]],
        [HEAD, HEAD, *CHUNKS, *CHUNKS, end(), end()],
    ],
)
def test_output_is_put_in_order(order):
    """Guards against a response with repeated or swapped pieces."""
    attempt = new_attempt()
    output = []
    for message in order:
        attempt.handle(message, 1.0)
        output += attempt.take()
    assert output == [HEAD, *CHUNKS, end()]
    assert attempt.state is ENDED


FAILED = end(AttemptOutcome.ENDPOINT_FAILED, 0)


@pytest.mark.parametrize(
    ('order', 'now_s', 'expected'),
    [
        ([HEAD, CHUNKS[0], CHUNKS[1], end()], 1.0, OPEN),
        ([*CHUNKS, end()], 1.0, OPEN),
        ([HEAD, CHUNKS[0], FAILED], 1.0, ENDED),
        ([HEAD, CHUNKS[0], end(), FAILED], 1.0, ENDED),
        ([refused()], 1.0, NOT_RUN),
        ([refused('agent-2')], 1.0, UNKNOWN),
        ([missing()], 1.0, NOT_RUN),
        ([missing('agent-2')], 1.0, UNKNOWN),
        ([missing(restarted=True)], 1.0, UNKNOWN),
        ([HEAD, missing()], 1.0, UNKNOWN),
        ([HEAD, refused()], 1.0, UNKNOWN),
        ([missing()], 10.0, UNKNOWN),
        ([refused()], 10.0, UNKNOWN),
    ],
)
def test_outcome(order, now_s, expected):
    """Guards against false ends and against a false "not run"."""
    attempt = new_attempt()
    for message in order:
        attempt.handle(message, now_s)
        attempt.take()
    assert attempt.state is expected


@pytest.mark.parametrize(
    ('order', 'fetches_s'),
    [
        ([], [3.0, 6.0]),
        ([HEAD], [3.0, 6.0]),
        ([HEAD, CHUNKS[1]], [0.1, 0.6]),
        ([CHUNKS[0]], [0.1, 0.6]),
        ([HEAD, CHUNKS[0], end()], [0.1, 0.6]),
        ([HEAD, *CHUNKS, end()], []),
    ],
)
def test_missing_output_is_fetched(order, fetches_s):
    """Guards against waiting for ever, and against needless fetches."""
    attempt = new_attempt()
    for message in order:
        attempt.handle(message, 0.0)
    attempt.take()
    times_s = [step / 20 for step in range(130)]
    fetched_s = [now_s for now_s in times_s if attempt.fetch_if_due(now_s)]
    assert fetched_s[:2] == pytest.approx(fetches_s, abs=0.051)


def test_slow_caller_costs_bounded_memory():
    """Guards against a buffer that grows while the caller doesn't read."""
    attempt = new_attempt(max_buffered_bytes=2)
    for message in [HEAD, *CHUNKS, end()]:
        attempt.handle(message, 0.0)
    assert not attempt.fetch_if_due(0.2)
    assert attempt.take() == [HEAD, *CHUNKS[:2]]
    assert not attempt.fetch_if_due(0.3)
    assert attempt.fetch_if_due(0.5)
    attempt.handle(CHUNKS[2], 0.6)
    assert attempt.take() == [CHUNKS[2], end()]
