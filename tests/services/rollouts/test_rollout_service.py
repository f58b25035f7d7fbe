"""Tests the rollout service with failing dependencies."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import pytest
from rollout_fakes import ACCOUNT
from rollout_fakes import STEP
from rollout_fakes import step_spec
from rollout_fakes import TRAINER
from rollout_fakes import World

from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import RequestError
from dogwoodpost.standins.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.rollouts.trainer_api import BatchView
    from dogwoodpost.services.rollouts.rollout_service import RolloutService
    from dogwoodpost.services.rollouts.trainer_rollouts import TrainerRollouts

NO_VERSION = ids.WeightVersion(0)


async def fetch(trainer: TrainerRollouts, cursor: int) -> BatchView | None:
    """Fetch a batch; return None on an error, which a client retries."""
    with contextlib.suppress(RequestError):
        return await trainer.fetch(ACCOUNT, cursor, NO_VERSION)
    return None


async def drain(service: RolloutService) -> AsyncIterator[BatchView]:
    """Fetch and acknowledge until the step is finished."""
    trainer = await service.trainer(TRAINER)
    cursor = 0
    while True:
        view = trainer.step_view(ACCOUNT, STEP)
        if view.is_finished and int(view.last_cursor) <= cursor:
            return
        batch = await fetch(trainer, cursor)
        if batch is None:
            await trainer.wait_for_batch(5.0)
            continue
        cursor = int(batch.cursor)
        received = batch.samples is not None
        await trainer.acknowledge(ACCOUNT, batch.batch_id, received=received)
        if received:
            yield batch


def run(world: World, spec_changes: dict[str, object]) -> list[BatchView]:
    """Run a step to its end on a virtual clock; return its batches."""

    async def run_step() -> list[BatchView]:
        service = world.service()
        async with service:
            trainer = await service.trainer(TRAINER)
            await trainer.submit(step_spec(**spec_changes))
            return [batch async for batch in drain(service)]

    return run_virtual(run_step())


def slots(batches: list[BatchView]) -> list[tuple[int, int]]:
    return sorted(
        (sample.group, sample.index)
        for batch in batches
        for sample in batch.samples or ()
    )


EVERY_SLOT = [(group, index) for group in range(3) for index in range(2)]


def test_a_step_goes_from_submission_to_acknowledged_batches() -> None:
    """Guards against slots that are lost or delivered twice."""
    world = World()
    batches = run(world, {})
    assert slots(batches) == EVERY_SLOT
    for batch in batches:
        for sample in batch.samples or ():
            assert sample.score == len(sample.completion)
            assert sample.segments


async def first_batch(service: RolloutService, cursor: int = 0) -> BatchView:
    """Fetch until a batch is available."""
    while True:
        trainer = await service.trainer(TRAINER)
        batch = await fetch(trainer, cursor)
        if batch is not None:
            return batch
        await trainer.wait_for_batch(1.0)


def test_an_old_owner_that_misses_its_lease_loss_delivers_nothing() -> None:
    """Guards against two entries that both deliver a batch."""

    async def scenario() -> None:
        world = World()
        old, new = world.service(), world.service()
        async with old, new:
            owner = await old.trainer(TRAINER)
            await owner.submit(step_spec())
            await first_batch(old)
            world.holder = None
            await new.trainer(TRAINER)
            for call in (
                owner.fetch(ACCOUNT, 0, NO_VERSION),
                owner.submit(step_spec('step-2')),
            ):
                with pytest.raises((LeaseLostError, RequestError)):
                    await call
            assert 'rollout/trainer-1/step/step-2' not in world.table.rows

    run_virtual(scenario())


@pytest.mark.parametrize(
    ('max_age_s', 'is_kept'), [(600.0, False), (None, True)]
)
def test_claimed_batches_of_unknown_age_are_replaced_at_a_takeover(
    max_age_s: float | None, is_kept: bool
) -> None:
    """Guards against delivering samples whose age the new owner cannot know.

    The start time of a sample is not stored because hosts share no clock.
    """

    async def scenario() -> None:
        world = World()
        async with world.service() as old:
            trainer = await old.trainer(TRAINER)
            await trainer.submit(step_spec(max_age_s=max_age_s))
            await asyncio.sleep(300.0)
        claimed = {name for name in world.objects.objects if '/batch-' in name}
        world.holder = None
        before = set(world.dispatcher.truth)
        async with world.service() as new:
            batch = await first_batch(new)
        assert claimed
        was_claimed = {
            sample.sample_id in before for sample in batch.samples or ()
        }
        assert was_claimed == {is_kept}

    run_virtual(scenario())


def test_finished_samples_wait_in_bounded_memory_during_an_outage() -> None:
    """Guards against a store outage that fills memory or loses samples."""

    async def scenario() -> None:
        world = World(max_claimable_count=4)
        async with world.service() as service:
            trainer = await service.trainer(TRAINER)
            await trainer.submit(
                step_spec(prompts=tuple(f'p{n}' for n in range(30)))
            )
            world.faults.down = True
            await asyncio.sleep(300.0)
            # Samples that run when the bound is reached may still finish.
            assert service.scheduler.claimable_count() <= 4 + 16
            world.faults.down = False
            batches = [batch async for batch in drain(service)]
        assert len(slots(batches)) == 60

    run_virtual(scenario())


def test_a_step_ends_at_its_deadline() -> None:
    """Guards against a trainer that waits for a step forever."""
    world = World()
    world.dispatcher.token_s = 100.0
    assert run(world, {'deadline_s': 50.0}) == []


@pytest.mark.parametrize(
    ('field', 'reason'),
    [('uncertain_count', 'uncertain_version'), ('failing_count', None)],
)
def test_failed_and_uncertain_samples_are_replaced(
    field: str, reason: str | None
) -> None:
    """Guards against a slot that stays empty after a failed dispatch."""
    world = World()
    setattr(world.dispatcher, field, 3)
    world.scorer.failing_count = 2
    assert slots(run(world, {})) == EVERY_SLOT
    counter = world.metrics.discarded_samples
    if reason is not None:
        assert counter.labels(reason)._value.get() == 3


def test_no_sample_id_is_used_twice_by_a_step_with_a_replaced_batch() -> None:
    """Guards against two samples of a slot that share an id and a score."""

    async def scenario() -> None:
        world = World()
        world.dispatcher.uncertain_count = 1
        async with world.service() as service:
            trainer = await service.trainer(TRAINER)
            await trainer.submit(
                step_spec(prompts=('p',), samples_per_group=1)
            )
            await asyncio.sleep(300.0)
            world.current_version = ids.WeightVersion(3)
            world.dispatcher.version = ids.WeightVersion(3)
            batches = [batch async for batch in drain(service)]
        assert slots(batches) == [(0, 0)]
        sample_ids = [
            request.sample_id for request in world.dispatcher.requests
        ]
        assert len(sample_ids) == len(set(sample_ids))

    run_virtual(scenario())


def test_a_batch_that_becomes_stale_while_it_is_issued_is_not_sent() -> None:
    """Guards against samples that become stale during a slow store call."""

    async def scenario() -> None:
        world = World()
        async with world.service() as service:
            trainer = await service.trainer(TRAINER)
            await trainer.submit(step_spec())
            await asyncio.sleep(300.0)
            world.faults.latency_s = 2.0
            fetch = asyncio.ensure_future(
                trainer.fetch(ACCOUNT, 0, NO_VERSION)
            )
            await asyncio.sleep(3.0)
            world.current_version = ids.WeightVersion(3)
            batch = await fetch
        assert batch is not None
        assert batch.samples is None

    run_virtual(scenario())


def test_slots_that_another_owner_released_are_generated_again() -> None:
    """Guards against slots that stay empty when an owner regains its lease."""

    async def scenario() -> None:
        world = World()
        first, second = world.service(), world.service()
        async with first, second:
            trainer = await first.trainer(TRAINER)
            # A long group keeps the step open while others are claimed.
            world.dispatcher.rng = random.Random(5)
            await trainer.submit(step_spec(max_tokens=400))
            for _ in range(1_000):
                if any('/batch-' in name for name in world.objects.objects):
                    break
                await asyncio.sleep(1.0)
            world.holder = None
            await first_batch(second)
            await second.stop()
            world.holder = None
            batches = [batch async for batch in drain(first)]
        assert slots(batches) == EVERY_SLOT

    run_virtual(scenario())
