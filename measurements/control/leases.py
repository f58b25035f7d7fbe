"""Measures takeover times after crashes of lease holders, and lease costs."""

from __future__ import annotations

import asyncio
import random

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.leases import lease_rank
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual
from measurements.control.fleet import StoreLink
from measurements.control.percentiles import percentile

SEED = 1
# Entries and shards at the target size: 2 regions with 6 services each, 5
# models, 12 trainers and usage.
HOLDER_COUNT = 20
SHARD_COUNT = 30
CRASH_COUNT = 10
STEADY_STATE_S = 60.0
# Estimated size of the HTTP/1.1 headers of one call in both directions.
HEADER_BYTES = 400
LATENCIES_S = {'no fault': 0.005, 'slow store': 1.0}


class LeaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one case.

    Takeover times are from the crash of a holder to the lease of a new one.
    """

    case: str
    holder_count: int
    shard_count: int
    takeover_count: int
    takeover_p50_s: float
    takeover_p99_s: float
    takeover_max_s: float
    store_reads_per_s: float
    store_writes_per_s: float
    bytes_per_node_per_s: float
    longest_planned_gap_s: float


class _Holder:
    """Lease manager of one process.

    :param live_holders: all processes that have not crashed.
    """

    def __init__(
        self, store: MemoryTableStore, index: int, live_holders: list[_Holder]
    ) -> None:
        rng = random.Random(SEED * 1000 + index)
        self.link = StoreLink(store, rng)
        self.process_id = ids.ProcessId(f'entry-{index}')
        self.manager = LeaseManager(
            self.link,
            HostClock(rng.uniform(0.998, 1.002), rng.uniform(0, 1e6)),
            rng,
            process_id=self.process_id,
            incarnation=ids.Incarnation(self.process_id),
            rank=lambda shard: lease_rank(
                shard,
                self.process_id,
                (other.process_id for other in live_holders),
            ),
        )

    async def start(self) -> None:
        for shard in range(SHARD_COUNT):
            self.manager.guard(ids.ShardName(f'shard/{shard}'))
        await self.manager.start()


def run_lease_cases() -> list[LeaseResult]:
    """Run all cases on virtual time with a fixed seed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    return [
        run_virtual(_run(case, latency_s))
        for case, latency_s in LATENCIES_S.items()
    ]


async def _run(case: str, latency_s: float) -> LeaseResult:
    loop = asyncio.get_running_loop()
    store = MemoryTableStore()
    holders: list[_Holder] = []
    holders += [_Holder(store, n, holders) for n in range(HOLDER_COUNT)]
    for holder in holders:
        holder.link.latency_s = latency_s
        await holder.start()
    await asyncio.sleep(2 * LeaseTerms().duration_s)
    before = _totals(holders)
    await asyncio.sleep(STEADY_STATE_S)
    reads, writes, size = (
        (after - start) / STEADY_STATE_S
        for start, after in zip(before, _totals(holders), strict=True)
    )
    takeovers_s: list[float] = []
    for _ in range(CRASH_COUNT):
        crashed = max(
            holders, key=lambda holder: len(holder.manager.held_shards())
        )
        holders.remove(crashed)
        shards = crashed.manager.held_shards()
        crashed.link.cut = True
        start_s = loop.time()
        takeovers_s += await _wait_all(holders, shards, start_s)
        await crashed.manager.stop()
    stopped = max(
        holders, key=lambda holder: len(holder.manager.held_shards())
    )
    holders.remove(stopped)
    shards = stopped.manager.held_shards()
    start_s = loop.time()
    stopping = asyncio.ensure_future(stopped.manager.stop())
    planned_s = await _wait_all(holders, shards, start_s)
    await stopping
    for holder in holders:
        holder.link.cut = True
        await holder.manager.stop()
    return LeaseResult(
        case=case,
        holder_count=HOLDER_COUNT,
        shard_count=SHARD_COUNT,
        takeover_count=len(takeovers_s),
        takeover_p50_s=percentile(takeovers_s, 50),
        takeover_p99_s=percentile(takeovers_s, 99),
        takeover_max_s=max(takeovers_s),
        store_reads_per_s=reads,
        store_writes_per_s=writes,
        bytes_per_node_per_s=(size + (reads + writes) * HEADER_BYTES)
        / HOLDER_COUNT,
        longest_planned_gap_s=max(planned_s),
    )


async def _wait_all(
    holders: list[_Holder], shards: list[ids.ShardName], start_s: float
) -> list[float]:
    """Return the time in s until a holder held it, for each shard."""
    loop = asyncio.get_running_loop()
    waiting = set(shards)
    durations_s = []
    while waiting:
        await asyncio.sleep(0.05)
        for holder in holders:
            for shard in waiting.intersection(holder.manager.held_shards()):
                durations_s.append(loop.time() - start_s)
                waiting.discard(shard)
    return durations_s


def _totals(holders: list[_Holder]) -> tuple[int, int, int]:
    links = [holder.link for holder in holders]
    return (
        sum(link.read_count for link in links),
        sum(link.write_count for link in links),
        sum(link.byte_count for link in links),
    )
