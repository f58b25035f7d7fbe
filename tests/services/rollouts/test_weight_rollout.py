"""Tests weight rollouts with failing orders."""

from __future__ import annotations

import asyncio
import random

from rollout_fakes import FakeGuard

from dogwoodpost.core import ids
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.messages import EndpointCommandResult
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformRateLimitError
from dogwoodpost.errors import TransportError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.weight_store import WeightStore
from dogwoodpost.services.rollouts.weight_rollout import WeightRollout
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual


class FakeStore(WeightStore):
    """Fails the first calls, then announces version 2."""

    def __init__(self) -> None:
        self.errors: list[PlatformError] = [
            PlatformError('down'),
            PlatformRateLimitError('slow down', 2.0),
        ]

    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        if self.errors:
            raise self.errors.pop()
        return ids.WeightVersion(2)

    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        raise NotImplementedError


class FakeCommander:
    """Loses the first order of each endpoint and refuses the second."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, EndpointAction, int]] = []

    async def command(
        self,
        endpoint: Endpoint,
        shard: ids.ShardName,
        fencing_number: ids.FencingNumber,
        action: EndpointAction,
        argument: str,
        fetch_from: tuple[str, ...],
    ) -> EndpointCommandResult:
        assert (shard, argument) == ('weights/slate', '2')
        await asyncio.sleep(0.5)
        self.orders.append((endpoint.endpoint_id, action, fencing_number))
        count = sum(
            1 for order in self.orders if order[0] == endpoint.endpoint_id
        )
        if count == 1:
            raise TransportError('silent')
        return EndpointCommandResult(
            sender_id=ids.ProcessId('agent'),
            sender_incarnation=ids.Incarnation('1'),
            sender_address='',
            command_id=ids.OperationId('c'),
            endpoint_id=endpoint.endpoint_id,
            accepted=count > 2,
        )


ENDPOINTS = [
    Endpoint(
        endpoint_id=ids.EndpointId(f'e-{number}'),
        service=ids.ServiceName('slate-lm'),
        host_id=ids.HostId(f'h-{number}'),
        availability_zone=ids.AvailabilityZone('minas-a'),
        region=ids.Region('minas'),
        agent_id=ids.ProcessId(f'a-{number}'),
        agent_incarnation=ids.Incarnation('1'),
        agent_address='',
        weights_url=f'http://h-{number}',
    )
    for number in range(3)
]


def rollout(commander: FakeCommander, guard: FakeGuard) -> WeightRollout:
    return WeightRollout(
        model=ids.ModelName('slate'),
        store=FakeStore(),
        commander=commander,
        guard=guard,
        endpoints=lambda: ENDPOINTS,
        clock=HostClock(),
        rng=random.Random(3),
        metrics=Metrics(),
    )


def test_all_endpoints_switch_weights_despite_failed_orders() -> None:
    """Guards against an endpoint that stays outdated after a lost order."""

    async def scenario() -> None:
        commander = FakeCommander()
        async with rollout(commander, FakeGuard(4, 1)) as service:
            # Heartbeats in this test never report a version, so the check
            # is made before the last switch counts as outdated.
            for _ in range(600):
                await asyncio.sleep(0.1)
                switched = {
                    name
                    for name, action, _ in commander.orders
                    if action is EndpointAction.SWITCH_WEIGHTS
                }
                if len(switched) == 3:
                    break
            assert len(switched) == 3
            assert service.version == 2
        assert {number for _, _, number in commander.orders} == {4}

    run_virtual(scenario())


def test_no_order_is_sent_without_the_lease() -> None:
    """Guards against two entries that both order weight swaps."""

    async def scenario() -> None:
        commander = FakeCommander()
        guard = FakeGuard(4, 1)
        guard.is_held = False
        async with rollout(commander, guard):
            await asyncio.sleep(30.0)
        assert commander.orders == []

    run_virtual(scenario())
