"""Measures the duration of a weight transfer hop between agents."""

from __future__ import annotations

import asyncio
import contextlib
import time

import aiohttp
import msgspec
from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.core.weights.fan_out import depth
from dogwoodpost.core.weights.fan_out import spread_s
from dogwoodpost.core.weights.weight_plan import FROM_WEIGHT_STORE
from dogwoodpost.ports.weight_store import WeightStore
from dogwoodpost.services.agent.weights import add_weight_routes
from dogwoodpost.services.agent.weights import WeightCache

MODEL = ids.ModelName('slate')
CHAIN_LENGTH = 8
ROUND_COUNT = 5
SMALL_BYTES = 64 * 1024
# 3,700 samplers, 11 per host, in 2 regions.
TARGET_HOSTS_PER_REGION = 170
TARGET_S = 17.0
FAN_OUT = 2


class HopReport(msgspec.Struct, frozen=True, kw_only=True):
    """Duration of a hop, and the remaining share of the target time.

    ``copy_budget_s`` is the longest time that one copy over the link of a
    host may take if only hops and copies take time.
    """

    hop_ms: float
    hosts_per_region: int
    fan_out: int
    depth: int
    hops_s: float
    copy_budget_s: float


class _Store(WeightStore):
    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        return None

    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        return bytes(SMALL_BYTES)


async def _chain_s(length: int, version: int) -> float:
    """Return the transfer time of 64 KiB through a chain of agents in s."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        sources = [FROM_WEIGHT_STORE]
        caches = []
        for _ in range(length):
            cache = WeightCache(session, _Store())
            stack.push_async_callback(cache.close)
            app = web.Application()
            add_weight_routes(app, cache)
            runner = web.AppRunner(app)
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            host, port = runner.addresses[0][:2]
            caches.append(cache)
            sources.append(f'http://{host}:{port}')
        number = ids.WeightVersion(version)
        begun_s = time.perf_counter()
        # Each agent starts when the previous agent has finished, so that the
        # fixed costs of all hops add up.
        for cache, source in zip(caches, sources, strict=False):
            await cache.get_or_fetch(MODEL, number, [source])
        return time.perf_counter() - begun_s


async def _measure() -> HopReport:
    medians_s = []
    for length in (1, CHAIN_LENGTH):
        times = [await _chain_s(length, n) for n in range(ROUND_COUNT)]
        medians_s.append(sorted(times)[ROUND_COUNT // 2])
    hop_s = (medians_s[1] - medians_s[0]) / (CHAIN_LENGTH - 1)
    hosts = TARGET_HOSTS_PER_REGION
    hops_s = spread_s(hosts, FAN_OUT, copy_s=0.0, hop_s=hop_s)
    return HopReport(
        hop_ms=hop_s * 1000,
        hosts_per_region=hosts,
        fan_out=FAN_OUT,
        depth=depth(hosts, FAN_OUT),
        hops_s=hops_s,
        copy_budget_s=(TARGET_S - hops_s) / FAN_OUT,
    )


def measure_hops() -> HopReport:
    """Return the duration of a hop on loopback and what follows from it."""
    return asyncio.run(_measure())
