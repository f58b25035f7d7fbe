"""Attempts at an agent."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts import AgentAttemptLimits
from dogwoodpost.core.attempts import AgentAttempts
from dogwoodpost.core.attempts import AttemptRecord
from dogwoodpost.core.attempts import MAX_START_AGE_S
from dogwoodpost.core.attempts import ResponseTooLargeError
from dogwoodpost.core.membership import ProcessIdentity

ENDPOINT = ids.EndpointId('engine-1')
ENTRY = {
    'sender_id': 'entry',
    'sender_incarnation': 'e1',
    'sender_address': 'entry',
}
Reason = messages.RefusalReason
Outcome = messages.AttemptOutcome


def make_agent(**limits: int) -> AgentAttempts:
    identity = ProcessIdentity(
        process_id=ids.ProcessId('agent'),
        incarnation=ids.Incarnation('a1'),
        address='agent',
    )
    agent = AgentAttempts(
        identity, {ENDPOINT: 2}, AgentAttemptLimits(**limits), 0.0
    )
    agent.record_hello(1, 0.0)
    return agent


def start(attempt_id: str = 'x', **changes: object) -> messages.StartAttempt:
    fields = {
        'attempt_id': attempt_id,
        'agent_incarnation': 'a1',
        'endpoint_id': ENDPOINT,
        'client_account_id': None,
        'method': 'POST',
        'path': '/',
        'headers': (),
        'body': b'',
        'remaining_ms': 2_000,
        'idempotent': False,
        'hello_sequence': 1,
    }
    return messages.StartAttempt(**{**ENTRY, **fields, **changes})


def fetch(attempt_id: str = 'x') -> messages.FetchAttempt:
    return messages.FetchAttempt(
        **ENTRY,
        attempt_id=attempt_id,
        remaining_ms=0,
        next_index=0,
        agent_incarnation='a1',
    )


def cancel(attempt_id: str = 'x') -> messages.CancelAttempt:
    return messages.CancelAttempt(
        **ENTRY, attempt_id=attempt_id, remaining_ms=0
    )


def acknowledge(attempt_id: str = 'x') -> messages.AcknowledgeAttempt:
    return messages.AcknowledgeAttempt(**ENTRY, attempt_id=attempt_id)


def fill(agent: AgentAttempts) -> None:
    agent.start(start('a'), 0.0)
    agent.start(start('b'), 0.0)


def drain(agent: AgentAttempts) -> None:
    agent.draining = True


REFUSALS = [
    ({'agent_incarnation': 'a0'}, None, Reason.WRONG_INCARNATION),
    ({'remaining_ms': 0}, None, Reason.DEADLINE_PASSED),
    ({'hello_sequence': 77}, None, Reason.DEADLINE_PASSED),
    ({'endpoint_id': 'other'}, None, Reason.UNKNOWN_ENDPOINT),
    ({}, drain, Reason.DRAINING),
    ({}, lambda a: a.set_rotation(ENDPOINT, False), Reason.OUT_OF_ROTATION),
    ({}, fill, Reason.OVERLOADED),
    ({}, lambda a: a.cancel(cancel(), 0.0), Reason.CANCELLED),
    ({}, lambda a: a.fetch(fetch(), 0.0), Reason.DUPLICATE),
]


@pytest.mark.parametrize(('changes', 'prepare', 'reason'), REFUSALS)
def test_refused_id_never_runs(
    changes: dict[str, object], prepare: object, reason: Reason
) -> None:
    """Guards against running a refused attempt after a repeated message."""
    agent = make_agent()
    if prepare is not None:
        prepare(agent)
    refused = agent.start(start(**changes), 0.0)
    assert refused.reason is reason
    agent.draining = False
    agent.set_rotation(ENDPOINT, True)
    for now_s in (0.1, 2.5, 9.0, 12.5, 100.0):
        agent.expire(now_s)
        copy = agent.start(start(), now_s)
        assert isinstance(copy, messages.AttemptRefused), now_s


@pytest.mark.parametrize('acknowledged', [False, True])
def test_copy_of_a_finished_attempt_never_runs(acknowledged: bool) -> None:
    """Guards against a second run after the response was acknowledged."""
    agent = make_agent()
    record = agent.start(start(), 0.0)
    agent.add_chunk(record, b'data')
    agent.finish(record, Outcome.COMPLETED)
    if acknowledged:
        agent.acknowledge(acknowledge())
        assert agent.retained_bytes == 0
    for now_s in (0.1, 9.0, 12.5, 100.0):
        agent.expire(now_s)
        copy = agent.start(start(), now_s)
        assert not isinstance(copy, AttemptRecord), now_s
    assert agent.retained_bytes == 0


def test_attempts_are_refused_while_ids_cannot_be_remembered() -> None:
    """Guards against running a refused id that did not fit into memory."""
    agent = make_agent(remembered_count=1)
    agent.cancel(cancel('first'), 0.0)
    refused = agent.start(start(), 0.0)
    assert refused.reason is Reason.OVERLOADED
    # The first id expires; the second was never remembered.
    now_s = MAX_START_AGE_S / 2
    agent.record_hello(2, now_s)
    agent.expire(MAX_START_AGE_S + 0.1)
    assert agent.remembered_id_count() == 0
    late = agent.start(start(hello_sequence=1), MAX_START_AGE_S - 0.1)
    assert late.reason is Reason.DEADLINE_PASSED
    agent.expire(100.0)
    agent.record_hello(3, 100.0)
    newer = agent.start(start('new', hello_sequence=3), 100.0)
    assert isinstance(newer, AttemptRecord)


def test_oldest_finished_response_is_dropped_first() -> None:
    """Guards against unbounded memory, and undetected loss of a response."""
    agent = make_agent(retained_bytes=1_000)
    old = agent.start(start('old'), 0.0)
    agent.add_chunk(old, b'x' * 500)
    agent.finish(old, Outcome.COMPLETED)
    new = agent.start(start('new'), 0.0)
    agent.add_chunk(new, b'y' * 500)
    (lost,) = agent.fetch(fetch('old'), 0.0)
    assert lost.outcome is Outcome.ENDPOINT_FAILED
    with pytest.raises(ResponseTooLargeError):
        agent.add_chunk(new, b'z' * 500)


def test_cancelled_response_is_not_retained() -> None:
    """Guards against a drain that waits for cancelled responses."""
    agent = make_agent()
    record = agent.start(start(), 0.0)
    agent.add_chunk(record, b'data')
    assert agent.cancel(cancel(), 0.0) is record
    agent.finish(record, Outcome.CANCELLED)
    assert agent.unacknowledged_count() == agent.retained_bytes == 0
    assert agent.start(start(), 0.1) is None


def test_entries_do_not_share_ids() -> None:
    """Guards against sending the response of one entry to another."""
    agent = make_agent()
    mine = agent.start(start(), 0.0)
    other = agent.start(start(sender_id='other', idempotent=True), 0.0)
    assert mine is not other
    assert agent.orphaned_by(ids.ProcessId('other')) == [other]


def test_only_idempotent_attempts_are_orphaned() -> None:
    """Guards against interrupting a booking that cannot be repeated."""
    agent = make_agent()
    agent.start(start('booking'), 0.0)
    query = agent.start(start('query', idempotent=True), 0.0)
    assert agent.orphaned_by(start().sender_id) == [query]
