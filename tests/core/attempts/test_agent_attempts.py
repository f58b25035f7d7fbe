"""Decisions of the agent on requests, fetches and cancels."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.agent_attempts import AgentAttempts
from dogwoodpost.core.attempts.agent_attempts import NOT_RETAINED
from dogwoodpost.core.attempts.hello_times import HelloTimes
from dogwoodpost.core.attempts.sender import Sender
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason

ENTRY = Sender(
    process_id=ids.ProcessId('entry'),
    incarnation=ids.Incarnation('entry-1'),
    address='entry:1',
)
AGENT = Sender(
    process_id=ids.ProcessId('agent'),
    incarnation=ids.Incarnation('agent-2'),
    address='agent:1',
)
ID = ids.AttemptId('attempt')


class AgentCase:
    """An agent that beats once a second, and a clock."""

    def __init__(self, *, max_id_count=100, retained_bytes=1000) -> None:
        self.now_s = 0.0
        self.hello_times = HelloTimes()
        self.agent = AgentAttempts(
            AGENT,
            self.hello_times,
            retained_bytes=retained_bytes,
            max_id_count=max_id_count,
        )
        self.sequence = 0
        self.pass_time(0)

    def pass_time(self, count_s):
        """Let whole seconds pass, each with a heartbeat."""
        for _ in range(count_s + (self.sequence == 0)):
            self.now_s += 1.0
            self.sequence += 1
            self.hello_times.record(self.sequence, self.now_s)
            self.agent.expire(self.now_s)

    def message(self, attempt_id=ID, **changes):
        fields = {
            'attempt_id': attempt_id,
            'agent_incarnation': AGENT.incarnation,
            'endpoint_id': ids.EndpointId('endpoint'),
            'client_account_id': None,
            'method': 'POST',
            'path': '/',
            'headers': (),
            'body': b'',
            'remaining_ms': 10_000,
            'idempotent': True,
            'heard_sequence': self.sequence,
        }
        return messages.StartAttempt(**ENTRY.fields(), **fields | changes)

    def start(self, message, refusal=None):
        """Return True, the reason of the refusal, or None if ignored."""
        decision = self.agent.start(message, self.now_s, refusal)
        if decision.run:
            return True
        reasons = [reply.reason for reply in decision.replies]
        return reasons[0] if reasons else None

    def fetch(self, next_index=0, incarnation=AGENT.incarnation, id=ID):
        fetch = messages.FetchAttempt(
            **ENTRY.fields(),
            attempt_id=id,
            remaining_ms=10_000,
            next_index=next_index,
            agent_incarnation=incarnation,
        )
        return self.agent.fetch(fetch, self.now_s)

    def cancel(self, id=ID):
        cancel = messages.CancelAttempt(
            **ENTRY.fields(), attempt_id=id, remaining_ms=10_000
        )
        return self.agent.cancel(cancel, self.now_s)

    def produce(self, index, data=b'0123456789', id=ID):
        self.agent.add_chunk(
            messages.ResponseChunk(
                **AGENT.fields(), attempt_id=id, index=index, data=data
            )
        )

    def end(self, chunk_count, id=ID):
        self.agent.end(
            messages.ResponseEnd(
                **AGENT.fields(),
                attempt_id=id,
                chunk_count=chunk_count,
                outcome=AttemptOutcome.COMPLETED,
            )
        )


@pytest.mark.parametrize(
    ('changes', 'refusal', 'expected'),
    [
        ({}, None, True),
        (
            {'agent_incarnation': ids.Incarnation('agent-1')},
            None,
            RefusalReason.WRONG_INCARNATION,
        ),
        ({'remaining_ms': 0}, None, RefusalReason.DEADLINE_PASSED),
        ({'heard_sequence': 0}, None, RefusalReason.OVERLOADED),
        ({'heard_sequence': 99}, None, RefusalReason.STALE),
        ({}, RefusalReason.DRAINING, RefusalReason.DRAINING),
    ],
)
def test_first_request(changes, refusal, expected):
    """Guards against running what must be refused."""
    case = AgentCase()
    assert case.start(case.message(**changes), refusal) is expected


def run(case):
    return case.start(case.message())


def run_and_acknowledge(case):
    run(case)
    case.end(0)
    case.agent.acknowledge(ID)


def refuse(case):
    case.start(case.message(), RefusalReason.OVERLOADED)


@pytest.mark.parametrize(
    ('first', 'expected'),
    [
        (run, None),
        (run_and_acknowledge, None),
        (refuse, RefusalReason.OVERLOADED),
        (AgentCase.cancel, RefusalReason.CANCELLED),
        (AgentCase.fetch, RefusalReason.CANCELLED),
    ],
)
@pytest.mark.parametrize('wait_s', [0, 3, 9, 11, 14, 30])
@pytest.mark.parametrize('was_sent_later', [False, True])
def test_late_copy_never_runs(first, expected, wait_s, was_sent_later):
    """Guards against a copy that runs once its id could be forgotten.

    The copy may have been sent just before the entry gave up.
    """
    case = AgentCase()
    copy = case.message()
    first(case)
    if was_sent_later:
        case.pass_time(4)
        copy = case.message(remaining_ms=6_000)
    case.pass_time(wait_s)
    assert case.start(copy) in (expected, RefusalReason.STALE)


def test_full_memory_refuses_rather_than_forgets():
    """Guards against running a copy of a refusal that was not remembered."""
    case = AgentCase(max_id_count=1)
    case.start(case.message(ids.AttemptId('other'), remaining_ms=100))
    copy = case.message()
    assert case.start(copy) is RefusalReason.OVERLOADED
    case.end(0, id='other')
    case.now_s += 5.2
    case.agent.expire(case.now_s)
    assert case.agent.id_count == 0
    case.hello_times.record(1, case.now_s)
    assert case.start(copy) is RefusalReason.OVERLOADED
    case.pass_time(16)
    assert case.start(case.message()) is True


@pytest.mark.parametrize('tell', [AgentCase.fetch, AgentCase.cancel])
def test_full_memory_bars_what_it_called_missing(tell):
    """Guards against running an id that was reported as missing."""
    case = AgentCase(max_id_count=1)
    case.start(case.message(ids.AttemptId('other'), remaining_ms=1))
    case.end(0, id='other')
    case.now_s += 4.9
    late = case.message()
    tell(case)
    case.now_s += 0.2
    case.agent.expire(case.now_s)
    assert case.agent.id_count == 0
    case.hello_times.record(case.sequence, case.now_s)
    assert case.start(late) is RefusalReason.OVERLOADED


@pytest.mark.parametrize(
    ('first', 'next_index', 'expected'),
    [
        (run, 0, ['ResponseChunk', 'ResponseChunk', 'ResponseEnd']),
        (run, 1, ['ResponseChunk', 'ResponseEnd']),
        (run, 2, ['ResponseEnd']),
        (run_and_acknowledge, 0, ['ResponseEnd']),
        (refuse, 0, ['AttemptRefused']),
        (AgentCase.cancel, 0, ['AttemptRefused']),
        (lambda case: None, 0, ['AttemptMissing']),
        (AgentCase.fetch, 0, ['AttemptMissing']),
    ],
)
def test_fetch(first, next_index, expected):
    """Guards against a fetch that gets a wrong part or a false answer."""
    case = AgentCase()
    first(case)
    for index in range(2):
        case.produce(index)
    case.end(2)
    replies = case.fetch(next_index)
    assert [type(reply).__name__ for reply in replies] == expected


@pytest.mark.parametrize(
    ('incarnation', 'expected'), [('agent-1', True), ('agent-2', False)]
)
def test_missing_tells_of_a_restart(incarnation, expected):
    """Guards against calling what an earlier incarnation ran not run."""
    [missing] = AgentCase().fetch(incarnation=incarnation)
    assert missing.restarted is expected


def test_dropped_output_is_reported():
    """Guards against a response that lacks what memory could not keep."""
    case = AgentCase(retained_bytes=35)
    run(case)
    for index in range(4):
        case.produce(index)
    assert case.agent.retained_bytes <= 35
    [lost] = case.fetch(0)
    assert lost.outcome is AttemptOutcome.ENDPOINT_FAILED
    assert lost.detail == NOT_RETAINED
    case.end(4)
    assert case.fetch(4)[-1].outcome is AttemptOutcome.COMPLETED


def test_cancelled_attempt_keeps_no_output():
    """Guards against memory held for a caller that has gone."""
    case = AgentCase()
    run(case)
    case.produce(0)
    assert case.cancel() is True
    case.end(1)
    assert case.agent.retained_bytes == 0
    assert case.start(case.message()) is None
