"""Tests of the lease manager on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.leases import fence_key
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.ports.table_store import Write
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual
from measurements.control.fleet import StoreLink

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

SHARD = ids.ShardName('orders/minas/slate-lm')
TERMS = LeaseTerms()


class Holder:
    """A process that wants to hold the lease."""

    def __init__(self, store: MemoryTableStore, name: str, rank: int) -> None:
        rng = random.Random(name)
        self.link = StoreLink(store, rng)
        self.manager = LeaseManager(
            self.link,
            HostClock(offset_s=rng.uniform(0, 1e6)),
            rng,
            process_id=ids.ProcessId(name),
            incarnation=ids.Incarnation(name),
            rank=lambda _: rank,
        )
        self.guard = self.manager.guard(SHARD)


def run_with_holders(
    scenario: Callable[[Holder, Holder], Coroutine[Any, Any, None]],
) -> None:
    """Run a scenario with two processes; the first one holds the lease."""

    async def run() -> None:
        store = MemoryTableStore()
        first, second = Holder(store, 'a', 0), Holder(store, 'b', 1)
        await first.manager.start()
        await second.manager.start()
        await asyncio.sleep(3.0)
        assert (first.guard.is_held(), second.guard.is_held()) == (True, False)
        await scenario(first, second)
        for holder in (first, second):
            holder.link.cut = True
            await holder.manager.stop()

    run_virtual(run())


def test_a_successor_takes_over_from_a_dead_holder() -> None:
    """Guards against a shard that stays without a holder."""

    async def scenario(first: Holder, second: Holder) -> None:
        number = first.guard.fencing_number()
        check = first.guard.fence_check()
        first.link.cut = True
        await asyncio.sleep(TERMS.duration_s - TERMS.renew_interval_s - 1.0)
        assert not second.guard.is_held()
        await asyncio.sleep(TERMS.renew_interval_s + 4.0)
        assert second.guard.fencing_number() == number + 1
        with pytest.raises(LeaseLostError):
            first.guard.fencing_number()
        with pytest.raises(StoreConflictError):
            await second.link.commit(
                ids.OperationId('order'), [check], [Write('order', b'')]
            )
        first.link.cut = False
        await asyncio.sleep(20.0)
        assert second.guard.fencing_number() == number + 1
        assert not first.guard.is_held()

    run_with_holders(scenario)


def test_renewals_keep_the_fence_row() -> None:
    """Guards against renewals that fail the holder's own transactions."""

    async def scenario(first: Holder, second: Holder) -> None:
        check = first.guard.fence_check()
        first.link.loss = 0.5
        await asyncio.sleep(60.0)
        assert first.guard.fence_check() == check
        assert check.key == fence_key(SHARD)
        writes = [Write('order', b'')]
        first.link.loss = 0.0
        await first.link.commit(ids.OperationId('order'), [check], writes)

    run_with_holders(scenario)


def test_a_planned_release_passes_the_lease_on_after_the_last_call() -> None:
    """Guards against a takeover while a call of the holder is in flight."""

    async def scenario(first: Holder, second: Holder) -> None:
        first.guard.fencing_number()
        release = asyncio.ensure_future(first.manager.release(SHARD))
        await asyncio.sleep(TERMS.longest_call_s - 0.1)
        assert not first.guard.is_held()
        assert not second.guard.is_held()
        await release
        await asyncio.sleep(3.0)
        assert second.guard.is_held()

    run_with_holders(scenario)


def test_a_short_outage_keeps_the_lease_and_a_long_one_loses_it() -> None:
    """Guards against a guard that stays valid without being renewed."""

    async def scenario(first: Holder, second: Holder) -> None:
        for outage_s, held in ((3.0, True), (30.0, False)):
            first.link.cut = second.link.cut = True
            await asyncio.sleep(outage_s)
            assert first.guard.is_held() is held
            first.link.cut = second.link.cut = False
            await asyncio.sleep(3.0)
            holders = (first.guard.is_held(), second.guard.is_held())
            assert sorted(holders) == [False, True]

    run_with_holders(scenario)
