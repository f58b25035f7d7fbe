"""Tests exactly-once delivery of samples under random faults."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from rollout_fakes import ACCOUNT
from rollout_fakes import step_spec
from rollout_fakes import TRAINER
from rollout_fakes import World

from dogwoodpost.core import ids
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.standins.virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from dogwoodpost.core.rollouts.trainer_api import BatchView

STEPS = ('step-1', 'step-2')
SPEC_CHANGES = {'max_age_s': 120.0, 'max_version_lag': 1, 'max_tokens': 20}
CALL_TIMEOUT_S = 4.0
DRAIN_LIMIT = 2_000


class RolloutMachine(stateful.RuleBasedStateMachine):
    """A trainer and two entries that may both own it.

    Guards against slots that are lost or delivered twice, samples beyond
    their staleness bound and samples with wrong weight versions.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.world = World(seed=7)
        self.services = [self.world.service() for _ in range(2)]
        for service in self.services:
            self.run(service.start())
        self.submitted: set[str] = set()
        # Stored by the trainer in one write: its slots and its cursor.
        self.applied: dict[tuple[str, int, int], str] = {}
        self.cursor = 0
        # In the memory of the trainer, lost in its crash.
        self.to_acknowledge: list[ids.BatchId] = []
        self.is_resumed = False

    def run(self, call: Awaitable[Any]) -> Any:
        return self.loop.run_until_complete(call)

    def attempt(self, call: Awaitable[Any]) -> Any:
        """Return a call's result, or None if it failed or timed out."""

        async def limited() -> Any:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call

        try:
            return self.run(limited())
        except (DogwoodpostError, TimeoutError):
            return None

    @stateful.rule(seconds=st.integers(1, 40))
    def advance(self, seconds: int) -> None:
        self.run(asyncio.sleep(seconds))

    @stateful.rule(step=st.sampled_from(STEPS), entry=st.integers(0, 1))
    def submit(self, step: str, entry: int) -> None:
        self.submitted.add(step)

        async def call() -> None:
            trainer = await self.services[entry].trainer(TRAINER)
            await trainer.submit(step_spec(step, **SPEC_CHANGES))

        self.attempt(call())

    @stateful.rule(entry=st.integers(0, 1), is_lost=st.booleans())
    def fetch(self, entry: int, is_lost: bool) -> None:
        async def call() -> BatchView | None:
            trainer = await self.services[entry].trainer(TRAINER)
            return await trainer.fetch(
                ACCOUNT,
                self.cursor,
                ids.WeightVersion(0),
                resumed=self.is_resumed,
            )

        batch = self.attempt(call())
        if batch is None or is_lost:
            return
        self.is_resumed = False
        if batch.samples is None:
            # The cursor advances only once the service has the answer.
            if not self.settle(entry, batch.batch_id, received=False):
                return
        else:
            self.apply(batch)
            self.to_acknowledge.append(batch.batch_id)
        self.cursor = int(batch.cursor)

    def settle(self, entry: int, batch_id: ids.BatchId, received: bool) -> Any:
        async def call() -> bool:
            trainer = await self.services[entry].trainer(TRAINER)
            await trainer.acknowledge(ACCOUNT, batch_id, received=received)
            return True

        return self.attempt(call())

    def apply(self, batch: BatchView) -> None:
        for sample in batch.samples or ():
            slot = (batch.step_id, sample.group, sample.index)
            assert slot not in self.applied, 'slot delivered twice'
            self.applied[slot] = sample.sample_id
            truth = self.world.dispatcher.truth[sample.sample_id]
            reported = [
                segment.weight_version
                for segment in sample.segments
                for _ in range(segment.token_count)
            ]
            assert reported == truth.versions, 'wrong weight versions'
            lag = self.world.current_version - min(truth.versions)
            assert lag <= SPEC_CHANGES['max_version_lag'], 'stale version'
            age_s = self.loop.time() - truth.begun_s
            assert age_s <= SPEC_CHANGES['max_age_s'], 'too old'

    @stateful.rule(entry=st.integers(0, 1), is_lost=st.booleans())
    def acknowledge(self, entry: int, is_lost: bool) -> None:
        if not self.to_acknowledge:
            return
        batch_id = self.to_acknowledge[0]
        if self.settle(entry, batch_id, received=True) and not is_lost:
            self.to_acknowledge.pop(0)

    @stateful.rule()
    def crash_trainer(self) -> None:
        """Lose unstored state; the next fetch is the first of a new client."""
        self.to_acknowledge.clear()
        self.is_resumed = True

    @stateful.rule(entry=st.integers(0, 1))
    def crash_entry(self, entry: int) -> None:
        old = self.services[entry]
        self.run(old.stop())
        if self.world.holder is old:
            self.world.holder = None
        self.services[entry] = self.world.service()
        self.run(self.services[entry].start())

    @stateful.rule(entry=st.integers(0, 1), is_noticed=st.booleans())
    def take_over(self, entry: int, is_noticed: bool) -> None:
        """Pass the lease to an entry; the old holder may not notice."""
        if is_noticed:
            for guard in self.world.guards:
                guard.is_held = False
        self.world.holder = None

        async def call() -> None:
            await self.services[entry].trainer(TRAINER)

        self.attempt(call())

    @stateful.rule(
        fault=st.sampled_from(
            ['lost_request_count', 'lost_response_count', 'lost_read_count']
        )
    )
    def lose_store_responses(self, fault: str) -> None:
        setattr(self.world.faults, fault, 2)

    @stateful.rule(is_down=st.booleans())
    def toggle_store(self, is_down: bool) -> None:
        self.world.faults.down = is_down

    @stateful.rule(count=st.integers(1, 3))
    def fail_dependencies(self, count: int) -> None:
        self.world.dispatcher.failing_count = count
        self.world.dispatcher.uncertain_count = count
        self.world.scorer.failing_count = count

    @stateful.rule()
    def announce_version(self) -> None:
        version = ids.WeightVersion(self.world.current_version + 1)
        self.world.current_version = version
        self.world.dispatcher.version = version

    def teardown(self) -> None:
        """Check that each slot of each step arrives once faults have ended."""
        self.world.faults.down = False
        for step in sorted(self.submitted):
            self.submit(step, 0)
        try:
            self.drain()
            expected = {
                (step, group, index)
                for step in self.submitted
                for group in range(3)
                for index in range(2)
            }
            assert set(self.applied) == expected, 'slots were lost'
        finally:
            for service in self.services:
                self.run(service.stop())
            self.loop.close()

    def drain(self) -> None:
        for _ in range(DRAIN_LIMIT):
            if len(self.applied) == 6 * len(self.submitted):
                return
            for entry in range(2):
                self.fetch(entry, is_lost=False)
                self.acknowledge(entry, is_lost=False)
                self.submit_all(entry)
            self.advance(1)

    def submit_all(self, entry: int) -> None:
        for step in sorted(self.submitted):
            self.submit(step, entry)


TestRollouts = RolloutMachine.TestCase
TestRollouts.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30
)


@pytest.mark.fuzz
def test_rollouts_for_long() -> None:
    """Guards against failures that only long sequences of faults cause."""
    stateful.run_state_machine_as_test(
        RolloutMachine,
        settings=hypothesis.settings(
            max_examples=2_000, stateful_step_count=80
        ),
    )
