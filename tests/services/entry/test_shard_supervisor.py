"""Tests that control work follows the configuration."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.services.entry.shard_supervisor import ShardSupervisor

NAME = ids.ServiceName('booking-app')
SHARD = 'orders/minas/booking-app'


class FakeLeases:
    def __init__(self) -> None:
        self.released: list[str] = []

    def guard(self, shard: str) -> SimpleNamespace:
        return SimpleNamespace(shard=shard, is_held=lambda: False)

    async def release(self, shard: str) -> None:
        self.released.append(shard)


class FakeClock:
    """Sleeps until the work is stopped."""

    async def sleep(self, duration_s: float) -> None:
        await asyncio.Event().wait()


def configuration(max_endpoint_count: int) -> Configuration:
    service = Service(
        name=NAME,
        kind=ServiceKind.PLAIN,
        max_endpoint_count=max_endpoint_count,
    )
    return Configuration(services={NAME: service})


def make_supervisor(leases: FakeLeases, clock: object) -> ShardSupervisor:
    platform = SimpleNamespace(
        usage_reports=None, weight_store=None, endpoint_orders=object()
    )
    return ShardSupervisor(
        SimpleNamespace(
            platform=platform,
            leases=leases,
            clock=clock,
            settings=SimpleNamespace(region='minas'),
            configuration=SimpleNamespace(subscribe=lambda _: None),
        )
    )


async def test_changed_service_replaces_its_runner() -> None:
    """Guards against scaling by an outdated configuration of a service."""
    leases = FakeLeases()
    supervisor = make_supervisor(leases, FakeClock())
    runners = []
    for count in (4, 4, 8):
        await supervisor._reconcile(configuration(count))
        runners.append(supervisor._runners[SHARD])
    assert runners[0] is runners[1]
    assert runners[1] is not runners[2]
    assert leases.released == []
    await supervisor._reconcile(Configuration())
    assert leases.released == [SHARD]


async def test_crashed_runner_crashes_the_supervisor() -> None:
    """Guards against holding a lease after its work has silently ended."""

    class FaultyClock:
        async def sleep(self, duration_s: float) -> None:
            raise ValueError('fault')

    supervisor = make_supervisor(FakeLeases(), FaultyClock())
    await supervisor._reconcile(configuration(4))
    async with asyncio.timeout(30):
        await supervisor.wait_until_stopped()
    assert isinstance(supervisor.crash_reason, ValueError)
