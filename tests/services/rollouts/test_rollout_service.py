"""The rollout service with faulty neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rollout_fakes import ACCOUNT
from rollout_fakes import STEP
from rollout_fakes import step_spec
from rollout_fakes import TRAINER
from rollout_fakes import World

from dogwoodpost.core import ids
from dogwoodpost.standins.virtual_loop import run_virtually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.rollouts.trainer_api import BatchView
    from dogwoodpost.services.rollouts.rollout_service import RolloutService

NO_VERSION = ids.WeightVersion(0)


async def drain(service: RolloutService) -> AsyncIterator[BatchView]:
    """Fetch and acknowledge until the step is finished."""
    trainer = await service.trainer(TRAINER)
    cursor = 0
    while True:
        view = trainer.step_view(ACCOUNT, STEP)
        if view.is_finished and int(view.last_cursor) <= cursor:
            return
        batch = await trainer.fetch(ACCOUNT, cursor, NO_VERSION)
        if batch is None:
            await trainer.wait_for_batch(5.0)
            continue
        cursor = int(batch.cursor)
        received = batch.samples is not None
        await trainer.acknowledge(ACCOUNT, batch.batch_id, received=received)
        if received:
            yield batch


def run(world: World, spec_changes: dict[str, object]) -> list[BatchView]:
    """Run a step to its end on a virtual clock."""

    async def run_step() -> list[BatchView]:
        service = world.service()
        async with service:
            trainer = await service.trainer(TRAINER)
            await trainer.submit(step_spec(**spec_changes))
            return [batch async for batch in drain(service)]

    return run_virtually(run_step())


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
