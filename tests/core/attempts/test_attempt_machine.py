"""Random lives of attempts against an oracle of what truly ran."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from dogwoodpost.core import messages
from dogwoodpost.core.attempts.entry_attempt import EntryAttemptState
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from tests.core.attempts.attempt_world import AttemptWorld

QUIET_STEP_S = 0.1
# A probe, its reply and the fetch of the rest.
QUIET_S = 6.0


class AttemptMachine(RuleBasedStateMachine):
    """Messages are lost, late, duplicated and reordered; agents restart."""

    @initialize(
        max_id_count=st.sampled_from([1, 2, 1000]),
        retained_bytes=st.sampled_from([30, 10_000]),
    )
    def open(self, max_id_count, retained_bytes):
        self.world = AttemptWorld(
            max_id_count=max_id_count, retained_bytes=retained_bytes
        )

    @precondition(lambda self: len(self.world.entry) < 3)
    @rule(
        chunk_total=st.integers(0, 3),
        timeout_s=st.sampled_from([0.1, 1.0, 3.0, 30.0]),
    )
    def start(self, chunk_total, timeout_s):
        self.world.start(chunk_total, timeout_s)

    @precondition(lambda self: self.world.network)
    @rule(data=st.data(), is_copied=st.booleans())
    def deliver(self, data, is_copied):
        network = self.world.network
        index = data.draw(st.integers(0, len(network) - 1))
        message = network[index] if is_copied else network.pop(index)
        self.world.deliver(message)

    @rule(are_starts_late=st.booleans())
    def exchange(self, are_starts_late):
        """Deliver all, perhaps but the requests, until nothing is left."""
        self.world.tick_entry()
        self.world.deliver_all(are_starts_late=are_starts_late)

    @precondition(lambda self: self.world.network)
    @rule(data=st.data())
    def lose(self, data):
        network = self.world.network
        network.pop(data.draw(st.integers(0, len(network) - 1)))

    @rule(is_lost=st.booleans())
    def beat(self, is_lost):
        hello = self.world.hello()
        if not is_lost:
            self.world.network.append(hello)

    @rule(duration_s=st.sampled_from([0.01, 0.2, 1.0, 4.0, 8.0]))
    def advance(self, duration_s):
        self.world.advance(duration_s)

    @rule()
    def tick(self):
        self.world.tick_entry()

    @precondition(lambda self: self.world.running)
    @rule(data=st.data())
    def produce(self, data):
        running = list(self.world.running.values())
        self.world.produce(data.draw(st.sampled_from(running)))

    @precondition(lambda self: self.world.running)
    @rule(data=st.data())
    def fail_endpoint(self, data):
        running = list(self.world.running.values())
        execution = data.draw(st.sampled_from(running))
        self.world.finish(execution, AttemptOutcome.ENDPOINT_FAILED)

    @rule()
    def restart_agent(self):
        self.world.restart_agent()

    @precondition(lambda self: self._open())
    @rule(data=st.data())
    def abandon(self, data):
        self.world.abandon(data.draw(st.sampled_from(self._open())))

    @rule(refusal=st.sampled_from([None, None, RefusalReason.DRAINING]))
    def drain_or_resume(self, refusal):
        self.world.refusal = refusal

    @invariant()
    def runs_at_most_once(self):
        if hasattr(self, 'world'):
            assert max(self.world.execution_count.values(), default=0) <= 1

    @invariant()
    def not_run_is_true(self):
        for side in self._sides():
            if side.state.state is EntryAttemptState.NOT_RUN:
                attempt_id = side.state.attempt_id
                assert self.world.execution_count[attempt_id] == 0

    @invariant()
    def response_is_own_and_whole(self):
        for side in self._sides():
            body = [
                message.data
                for message in side.output
                if isinstance(message, messages.ResponseChunk)
            ]
            attempt_id = side.state.attempt_id
            assert body == [
                f'{attempt_id}/{index};'.encode() for index in range(len(body))
            ]
            last = side.output[-1] if side.output else None
            if not isinstance(last, messages.ResponseEnd):
                continue
            if last.outcome is AttemptOutcome.COMPLETED:
                assert isinstance(side.output[0], messages.ResponseHead)
                assert body == self.world.whole_bodies[attempt_id]

    @invariant()
    def memory_is_bounded(self):
        if not hasattr(self, 'world'):
            return
        agent = self.world.agent
        assert agent.id_count <= self.world.max_id_count
        assert agent.retained_bytes <= self.world.retained_bytes

    def teardown(self):
        """Without further faults every attempt ends, and not as unknown."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.network.clear()
        world.deliver(world.hello())
        expected = [
            side
            for side in self._open()
            if side.state.deadline_s > world.now_s + QUIET_S
        ]
        for _ in range(int(QUIET_S / QUIET_STEP_S)):
            world.tick_entry()
            for execution in tuple(world.running.values()):
                world.produce(execution)
            world.deliver_all()
            world.advance(QUIET_STEP_S)
        for side in expected:
            assert side.state.state in (
                EntryAttemptState.ENDED,
                EntryAttemptState.NOT_RUN,
            ), side.state.detail
        self.not_run_is_true()
        self.response_is_own_and_whole()

    def _sides(self):
        return self.world.entry.values() if hasattr(self, 'world') else ()

    def _open(self):
        return [side for side in self._sides() if side.is_open]


def test_attempt_life_cycle():
    """Guards against repeated runs, false refusals and mixed responses."""
    run_state_machine_as_test(
        AttemptMachine,
        settings=settings(max_examples=400, stateful_step_count=40),
    )


@pytest.mark.fuzz
def test_attempt_life_cycle_longer():
    """Guards against the same faults in longer and more random lives."""
    run_state_machine_as_test(
        AttemptMachine,
        settings=settings(max_examples=3_000, stateful_step_count=120),
    )
