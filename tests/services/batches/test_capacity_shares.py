"""Owners of different trainers' jobs that share engines."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.standins.virtual_time import run_virtual
from tests.services.batches.shared_engines import SERVICE
from tests.services.batches.shared_engines import SharedEngines

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.services.batches.shared_engines import Owner


async def mean_running(
    owners: Sequence[Owner], duration_s: float
) -> dict[str, float]:
    """Return the mean number of running items of each owner from now on."""
    sample_count = round(duration_s / 0.05)
    totals: Counter[str] = Counter()
    for _ in range(sample_count):
        await asyncio.sleep(0.05)
        for owner in owners:
            totals[owner.name] += owner.running.total()
    return {owner.name: totals[owner.name] / sample_count for owner in owners}


def test_four_trainers_that_ask_at_once_all_get_their_share() -> None:
    """Guards against trainers that bear the cost of the others.

    They ask for 448 slots at the same time, where there are 48. One has long
    texts in two large groups.
    """

    async def run() -> dict[str, float]:
        async with SharedEngines(6, 'abcd') as owners:
            async with asyncio.TaskGroup() as jobs:
                for owner in owners:
                    rng = random.Random(owner.name)
                    shape = (2, 32, 1.6) if owner.name == 'a' else (8, 16, 0.3)
                    group_count, size, low_s = shape
                    groups = [
                        [rng.uniform(low_s, low_s + 0.8) for _ in range(size)]
                        for _ in range(group_count)
                    ]
                    jobs.create_task(owner.run_job(groups))
                    await asyncio.sleep(0.02)
                await asyncio.sleep(2.0)
                running = await mean_running(owners, 1.3)
        return running

    running = run_virtual(run())
    assert min(running.values()) >= 0.8 * 12.0, running


@pytest.mark.parametrize('enabled', [False, True])
def test_late_trainer_gets_its_share_of_engines_that_another_one_holds(
    enabled: bool,
) -> None:
    """Guards against a trainer that waits until another one has all it wants.

    The first trainer uses everything until the second one comes, and again
    after that. With the policy off, the second one gets nothing for 2.5 s.
    """

    async def run() -> tuple[float, float, float]:
        async with SharedEngines(2, 'ab', enabled=enabled) as (first, second):
            async with asyncio.TaskGroup() as jobs:
                jobs.create_task(first.run_job([[0.5] * 200], due_s=30.0))
                alone = (await mean_running([first], 1.0))['a']
                jobs.create_task(second.run_job([[0.5] * 40], due_s=30.0))
                await asyncio.sleep(0.5)
                shared = (await mean_running([first, second], 1.5))['b']
        return alone, shared, max(first.ends_s.values())

    alone, shared, end_s = run_virtual(run())
    assert alone >= 14.0
    assert end_s <= 7.2
    assert shared >= 8.0 if enabled else shared < 0.5


@pytest.mark.parametrize('fault', ['dead', 'frozen', 'old build'])
def test_peer_without_fresh_demands_holds_nothing_back(fault: str) -> None:
    """Guards against free slots that are left to a peer that takes none.

    The peer has 40 items that wait. 100 items of 0.4 s take 2.7 s at 16
    slots; a dead or frozen peer may cost its state's lifetime of 0.9 s.
    """

    async def run() -> tuple[float, int]:
        async with SharedEngines(2, 'ab') as (owner, peer):
            peer.sends_demands = fault != 'old build'
            for endpoint in peer.engines.endpoints:
                peer.dispatcher.block(
                    endpoint.endpoint_id, ids.ModelName('b'), 60.0
                )
            job = asyncio.create_task(peer.run_job([[0.4] * 40]))
            await asyncio.sleep(0.3)
            if fault == 'dead':
                job.cancel()
            peer.sends_demands = False
            start_s = owner.clock.monotonic_s()
            await owner.run_job([[0.4] * 100], due_s=30.0)
            job.cancel()
            return owner.clock.monotonic_s() - start_s, owner.yield_count(
                'share'
            )

    duration_s, yield_count = run_virtual(run())
    assert duration_s <= 2.7 + 0.9
    assert (yield_count > 0) is (fault != 'old build')


def test_wrong_state_costs_little_throughput() -> None:
    """Guards against slots kept free for items that can't use the engines.

    The peer waits for a weight version that no engine has. Without limits
    nothing would run; with the limit per item alone, 200 items took 11.4 s
    instead of 6.0 s.
    """

    async def run() -> float:
        async with SharedEngines(2, 'ab') as (owner, peer):
            for endpoint in peer.engines.endpoints:
                peer.router.upsert(
                    msgspec.structs.replace(
                        endpoint, weight_versions={'b': 0}
                    ),
                    0.0,
                )
            job = asyncio.create_task(peer.run_job([[0.5] * 40]))
            await asyncio.sleep(0.3)
            await owner.run_job([[0.5] * 200], due_s=30.0)
            job.cancel()
            return max(owner.ends_s.values()) - 0.3

    assert run_virtual(run()) <= 6.0 + 0.8


@pytest.mark.parametrize('enabled', [False, True])
def test_groups_that_can_be_in_time_are_saved(enabled: bool) -> None:
    """Guards against a step without groups because all of them are late.

    Of six groups due after 2.5 s, two can't be in time. With the policy off,
    their items go first because they are the longest.
    """

    async def run() -> list[str]:
        async with SharedEngines(1, 'a', enabled=enabled) as (owner,):
            groups = [[3.5] * 8] * 2 + [[0.8] * 5] * 4
            await owner.run_job(groups, due_s=2.5)
            return [
                group.split('/')[1]
                for group, end_s in owner.ends_s.items()
                if end_s <= 2.5 + 0.7
            ]

    assert sorted(run_virtual(run())) == (list('2345') if enabled else [])


@pytest.mark.parametrize('enabled', [False, True])
def test_needed_groups_end_before_spare_ones(enabled: bool) -> None:
    """Guards against a trainer that waits for slots held by spare groups.

    It waits for three of six groups. The policy is switched at run time.
    """

    async def run() -> float:
        engines = SharedEngines(1, 'a', enabled=not enabled)
        async with engines as (owner,):
            engines.switch(enabled=enabled)
            groups = [[0.3, 0.4, 0.5, 0.6, 0.7, 0.8]] * 6
            await owner.run_job(groups, due_s=9.0, desired_group_count=3)
            return sorted(owner.ends_s.values())[2]

    end_s = run_virtual(run())
    assert end_s <= 1.6 if enabled else end_s >= 2.0


def test_own_demands_state_what_runs_and_is_needed() -> None:
    """Guards against shares computed from wrong counts.

    Of 24 items on nine slots, the eight of the spare group don't count as
    waiting. Slots are released when items end.
    """

    async def run() -> tuple[tuple[int, int, float], int]:
        async with SharedEngines(1, 'a') as (owner,):
            job = owner.run_job([[2.0] * 8] * 3, desired_group_count=2)
            task = asyncio.create_task(job)
            await asyncio.sleep(0.5)
            (demand,) = owner.dispatcher.own_demands(0.5)
            await task
            counts = (demand.running_count, demand.waiting_count)
            slot_count = owner.router.slot_count(SERVICE)
            assert not owner.dispatcher.own_demands(9.0)
            return (*counts, demand.start_by_s), slot_count

    assert run_virtual(run()) == ((9, 7, 5.0), 8)
