"""Control work that follows the configuration."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.services.entry.control_parts import ControlParts

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


def make_parts(leases: FakeLeases, clock: object) -> ControlParts:
    platform = SimpleNamespace(
        usage_reports=None, weight_store=None, endpoint_orders=object()
    )
    return ControlParts(
        SimpleNamespace(
            platform=platform,
            leases=leases,
            clock=clock,
            settings=SimpleNamespace(region='minas'),
            configuration=SimpleNamespace(subscribe=lambda _: None),
        )
    )


async def test_changed_service_replaces_its_work() -> None:
    """Guards against scaling by a declaration that is no longer in force."""
    leases = FakeLeases()
    parts = make_parts(leases, FakeClock())
    runners = []
    for count in (4, 4, 8):
        await parts._adjust(configuration(count))
        runners.append(parts._runners[SHARD])
    assert runners[0] is runners[1]
    assert runners[1] is not runners[2]
    assert leases.released == []
    await parts._adjust(Configuration())
    assert leases.released == [SHARD]


async def test_crashed_work_crashes_its_owner() -> None:
    """Guards against a held lease whose work has silently ended."""

    class FaultyClock:
        async def sleep(self, duration_s: float) -> None:
            raise ValueError('fault')

    parts = make_parts(FakeLeases(), FaultyClock())
    await parts._adjust(configuration(4))
    async with asyncio.timeout(30):
        await parts.wait_until_stopped()
    assert isinstance(parts.crash_reason, ValueError)
