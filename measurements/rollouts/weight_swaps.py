"""Announces new weight versions and swaps the engines to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.weights import TokenBucket
from dogwoodpost.core.weights import WeightPlan

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.weights import SwapAction
    from measurements.rollouts.engines import FakeEngines
    from measurements.rollouts.engines import Sampler

WEIGHT_LOAD_S = 5.0
WEIGHT_SWITCH_S = 0.5
SAMPLERS_PER_HOST = 4
POLL_INTERVAL_S = 0.5


class WeightSwaps:
    """Executes the weight plan on the simulated engines."""

    def __init__(self, engines: FakeEngines, rng: random.Random) -> None:
        self.announced_version = ids.WeightVersion(1)
        self._engines = engines
        self._rng = rng
        self._plan = WeightPlan(TokenBucket(1.0, 1.0))
        self._order_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Announce versions and swap, until cancelled."""
        loop = asyncio.get_running_loop()
        interval_s = self._engines.workload.weight_interval_s
        next_s = loop.time() + interval_s
        try:
            while True:
                if loop.time() >= next_s:
                    next_s += interval_s
                    self.announced_version = ids.WeightVersion(
                        self.announced_version + 1
                    )
                    self._plan.announce(self.announced_version)
                self._start_orders(loop.time())
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            for order in self._order_tasks:
                order.cancel()

    def _start_orders(self, now_s: float) -> None:
        self._plan.set_endpoints(map(_endpoint, self._engines.live), now_s)
        for action in self._plan.next_actions(now_s):
            order = asyncio.ensure_future(self._carry_out(action))
            self._order_tasks.add(order)
            order.add_done_callback(self._order_tasks.discard)

    async def _carry_out(self, action: SwapAction) -> None:
        loop = asyncio.get_running_loop()
        is_load = action.action is EndpointAction.LOAD_WEIGHTS
        await asyncio.sleep(WEIGHT_LOAD_S if is_load else WEIGHT_SWITCH_S)
        sampler = next(
            item
            for item in self._engines.samplers
            if item.endpoint_id == action.endpoint.endpoint_id
        )
        accepted = is_load
        if not is_load:
            share = self._engines.case.swap_failure_share
            accepted = self._rng.random() >= share
            if accepted:
                sampler.switches.append((loop.time(), action.version))
                self._engines.wake()
            else:
                sampler.failed_swap_at_s = loop.time()
        self._plan.record(
            action, accepted=accepted, now_s=loop.time(), rng=self._rng
        )


def _endpoint(sampler: Sampler) -> Endpoint:
    number = int(sampler.endpoint_id.rpartition('-')[2])
    host = f'host-{number // SAMPLERS_PER_HOST}'
    return Endpoint(
        endpoint_id=sampler.endpoint_id,
        service=ids.ServiceName('slate-lm'),
        host_id=ids.HostId(host),
        availability_zone=ids.AvailabilityZone('minas-a'),
        region=ids.Region('minas'),
        agent_id=ids.ProcessId(host),
        agent_incarnation=ids.Incarnation('1'),
        agent_address=host,
        weight_version=sampler.version,
        weights_url=host,
    )
