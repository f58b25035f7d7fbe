"""Attempts with lost, late, repeated and reordered messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts import AgentAttemptLimits
from dogwoodpost.core.attempts import AgentAttempts
from dogwoodpost.core.attempts import AttemptRecord
from dogwoodpost.core.attempts import EntryAttempt
from dogwoodpost.core.attempts import ResponseTooLargeError
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError

if TYPE_CHECKING:
    from collections.abc import Iterable

ENDPOINT = ids.EndpointId('engine-1')
OUTCOME = messages.AttemptOutcome
SMALL = AgentAttemptLimits(retained_bytes=1_500, remembered_count=4)
CHUNK_COUNT = 3
# Draws the oldest and the newest message more often than those between.
indexes = st.one_of(st.just(0), st.just(-1), st.integers(0, 20))
rarely = st.sampled_from([False] * 7 + [True])


def chunk(attempt_id: str, index: int) -> bytes:
    return f'{attempt_id}:{index};'.encode()


class Oracle:
    """Actual history of one attempt, to compare with what the entry saw."""

    def __init__(self) -> None:
        self.run_count = 0
        self.claimed_not_run = False
        self.received = b''
        self.head_count = 0
        self.end: AttemptEnd | None = None


class AttemptMachine(stateful.RuleBasedStateMachine):
    """One entry, one agent that restarts, and an unreliable network.

    The network delivers messages of any age in any order. A message that
    remains in ``network`` after its delivery can be delivered again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.network: list[messages.AnyMessage] = []
        self.oracles: dict[str, Oracle] = {}
        self.open: dict[str, EntryAttempt] = {}
        self.running: list[AttemptRecord] = []
        self.run_number = 0
        self.last_hello = (ids.Incarnation(''), 0)
        self.restart_agent()

    # The agent

    @stateful.precondition(lambda self: self.oracles)
    @stateful.rule(drains=st.booleans())
    def disturb_agent(self, drains: bool) -> None:
        if drains:
            self.agent.draining = True
        else:
            self.restart_agent()

    def restart_agent(self) -> None:
        self.run_number += 1
        self.sequence = 0
        self.running = []
        self.agent_identity = ProcessIdentity(
            process_id=ids.ProcessId('agent'),
            incarnation=ids.Incarnation(f'a{self.run_number}'),
            address='agent',
        )
        self.agent = AgentAttempts(
            self.agent_identity, {ENDPOINT: 2}, SMALL, self.now_s
        )
        self.send_hello(deliver=True)

    @stateful.rule(deliver=st.booleans())
    def send_hello(self, deliver: bool) -> None:
        self.sequence += 1
        self.agent.record_hello(self.sequence, self.now_s)
        if deliver:
            self.last_hello = (self.agent_identity.incarnation, self.sequence)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(index=indexes, fails=rarely, steps=st.integers(1, 5))
    def endpoint_makes_progress(
        self, index: int, fails: bool, steps: int
    ) -> None:
        record = self.running[index % len(self.running)]
        for _ in range(steps):
            if record in self.running:
                self.make_progress(record, fails)

    def make_progress(self, record: AttemptRecord, fails: bool) -> None:
        if record.cancelled:
            self.finish(record, OUTCOME.CANCELLED)
        elif self.now_s >= record.deadline_s:
            self.finish(record, OUTCOME.DEADLINE_PASSED)
        elif fails:
            self.finish(record, OUTCOME.ENDPOINT_FAILED)
        elif record.head is None:
            self.network.append(self.agent.add_head(record, 200, ()))
        elif len(record.chunks) < CHUNK_COUNT:
            self.add_chunk(record)
        else:
            self.finish(record, OUTCOME.COMPLETED)

    def add_chunk(self, record: AttemptRecord) -> None:
        data = chunk(record.key.attempt_id, len(record.chunks))
        try:
            self.network.append(self.agent.add_chunk(record, data))
        except ResponseTooLargeError:
            self.finish(record, OUTCOME.ENDPOINT_FAILED)

    def finish(self, record: AttemptRecord, outcome: OUTCOME) -> None:
        self.network.append(self.agent.finish(record, outcome))
        self.running.remove(record)

    # The entry

    @stateful.precondition(lambda self: len(self.open) < 3)
    @stateful.rule(timeout_s=st.sampled_from([0.5, 5.0, 30.0]))
    def begin(self, timeout_s: float) -> None:
        attempt_id = ids.AttemptId(f't{len(self.oracles)}')
        self.oracles[attempt_id] = Oracle()
        incarnation, sequence = self.last_hello
        attempt = EntryAttempt(attempt_id, incarnation, timeout_s, self.now_s)
        self.open[attempt_id] = attempt
        message = messages.StartAttempt(
            **self.entry_fields(),
            attempt_id=attempt_id,
            agent_incarnation=incarnation,
            endpoint_id=ENDPOINT,
            client_account_id=None,
            method='POST',
            path='/',
            headers=(),
            body=b'',
            remaining_ms=int(timeout_s * 1000),
            idempotent=False,
            hello_sequence=sequence,
        )
        self.network.append(message)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(index=indexes, disconnects=st.booleans())
    def caller_disconnects_or_connection_reopens(
        self, index: int, disconnects: bool
    ) -> None:
        attempt_id = list(self.open)[index % len(self.open)]
        if disconnects:
            self.send_cancel(self.open.pop(attempt_id))
        else:
            self.send_fetch(self.open[attempt_id])

    @stateful.rule(duration_s=st.sampled_from([0.1, 1.0, 4.0, 11.0]))
    def time_passes(self, duration_s: float) -> None:
        self.now_s += duration_s
        self.agent.expire(self.now_s)
        for attempt in list(self.open.values()):
            if attempt.poll(self.now_s):
                self.send_fetch(attempt)
            self.consume(attempt)

    # The network

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(
        choices=st.lists(
            st.tuples(indexes, st.booleans()), min_size=1, max_size=4
        )
    )
    def deliver(self, choices: list[tuple[int, bool]]) -> None:
        for index, again in choices:
            if self.network:
                self.deliver_one(index % len(self.network), again)

    def deliver_one(self, index: int, again: bool) -> None:
        message = self.network[index]
        if not again:
            del self.network[index]
        if isinstance(message, messages.StartAttempt):
            self.agent_starts(message)
        elif isinstance(message, messages.FetchAttempt):
            self.network += self.agent.fetch(message, self.now_s)
        elif isinstance(message, messages.CancelAttempt):
            self.reply(self.agent.cancel(message, self.now_s))
        elif isinstance(message, messages.AcknowledgeAttempt):
            self.agent.acknowledge(message)
        else:
            self.entry_receives(message)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(index=indexes)
    def lose_one(self, index: int) -> None:
        del self.network[index % len(self.network)]

    def agent_starts(self, message: messages.StartAttempt) -> None:
        result = self.agent.start(message, self.now_s)
        if isinstance(result, AttemptRecord):
            self.oracles[message.attempt_id].run_count += 1
            self.running.append(result)
        else:
            self.reply(result)

    def reply(
        self, result: AttemptRecord | messages.AttemptRefused | None
    ) -> None:
        if isinstance(result, messages.AttemptRefused):
            self.network.append(result)

    def entry_receives(self, message: messages.AnyMessage) -> None:
        attempt = self.open.get(message.attempt_id)
        if attempt is not None:
            attempt.receive(message, self.now_s)
            self.consume(attempt)

    def consume(self, attempt: EntryAttempt) -> None:
        oracle = self.oracles[attempt.attempt_id]
        for event in attempt.take_events():
            if isinstance(event, AttemptHead):
                oracle.head_count += 1
            elif isinstance(event, AttemptData):
                oracle.received += event.data
            else:
                oracle.end = event
        if not attempt.done:
            return
        del self.open[attempt.attempt_id]
        if isinstance(attempt.error, AttemptNotRunError):
            oracle.claimed_not_run = True
        elif attempt.error is None:
            acknowledgement = messages.AcknowledgeAttempt(
                **self.entry_fields(), attempt_id=attempt.attempt_id
            )
            self.network.append(acknowledgement)
        else:
            self.send_cancel(attempt)

    def send_cancel(self, attempt: EntryAttempt) -> None:
        message = messages.CancelAttempt(
            **self.entry_fields(),
            attempt_id=attempt.attempt_id,
            remaining_ms=attempt.remaining_ms(self.now_s),
        )
        self.network.append(message)

    def send_fetch(self, attempt: EntryAttempt) -> None:
        message = messages.FetchAttempt(
            **self.entry_fields(),
            attempt_id=attempt.attempt_id,
            remaining_ms=attempt.remaining_ms(self.now_s),
            next_index=attempt.next_index,
            agent_incarnation=attempt.agent_incarnation,
        )
        self.network.append(message)

    def entry_fields(self) -> dict[str, str]:
        return {
            'sender_id': 'entry',
            'sender_incarnation': 'e1',
            'sender_address': 'entry',
        }

    # Invariants

    @stateful.invariant()
    def network_loses_the_oldest(self) -> None:
        # With few messages, it is likely that the relevant one is drawn.
        del self.network[:-12]

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        for oracle in self.oracles.values():
            assert oracle.run_count <= 1

    @stateful.invariant()
    def attempts_reported_as_not_run_did_not_run(self) -> None:
        for oracle in self.oracles.values():
            assert not (oracle.claimed_not_run and oracle.run_count)

    @stateful.invariant()
    def responses_are_complete_and_not_mixed(self) -> None:
        for attempt_id, oracle in self.oracles.items():
            whole = join(chunk(attempt_id, i) for i in range(CHUNK_COUNT))
            assert whole.startswith(oracle.received)
            assert oracle.head_count <= 1
            end = oracle.end
            if end is not None and end.outcome is OUTCOME.COMPLETED:
                assert oracle.received == whole
                assert oracle.head_count == 1

    @stateful.invariant()
    def memory_is_bounded(self) -> None:
        assert self.agent.running_count() == len(self.running)
        assert 0 <= self.agent.retained_bytes <= SMALL.retained_bytes
        assert self.agent.remembered_id_count() <= SMALL.remembered_count
        if self.agent.remembered_id_count() == 0:
            assert self.agent.retained_bytes == 0


def join(parts: Iterable[bytes]) -> bytes:
    return b''.join(parts)


TestAttemptMachine = AttemptMachine.TestCase
TestAttemptMachine.__doc__ = (
    'Guards against a second run, a false "not run" and mixed responses.'
)
TestAttemptMachine.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50
)


@pytest.mark.fuzz
def test_attempt_machine_for_longer() -> None:
    """Guards against the same failures in longer and more random runs."""
    settings = hypothesis.settings(stateful_step_count=150)
    stateful.run_state_machine_as_test(AttemptMachine, settings=settings)
