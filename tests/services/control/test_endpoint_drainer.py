"""Tests of draining endpoints before they are stopped."""

from __future__ import annotations

import asyncio

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError
from dogwoodpost.services.control.endpoint_drainer import EndpointDrainer

ENDPOINT = ids.EndpointId('e1')
LONGEST_REQUEST_S = 60.0


class FakeClock:
    """Clock that advances only while something sleeps."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic_s(self) -> float:
        return self.now_s

    async def sleep(self, duration_s: float) -> None:
        self.now_s += duration_s
        await asyncio.sleep(0)


class FakeGuard:
    def fencing_number(self) -> int:
        return 7


class FakeAgent:
    """Agent that accepts commands once it is visible to this process."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.visible_from_s = 0.0
        self.failing_count = 0
        self.drained_s: float | None = None
        self.load: tuple[messages.EndpointLoad, float] | None = None

    def find(self, endpoint_id: ids.EndpointId) -> object | None:
        is_visible = self.clock.now_s >= self.visible_from_s
        return self if is_visible else None

    endpoint_id = ENDPOINT

    async def command(self, *arguments: object) -> FakeAgent:
        if self.failing_count:
            self.failing_count -= 1
            raise EndpointError('no result')
        self.drained_s = self.clock.now_s
        return self

    accepted = True


@pytest.fixture
def agent() -> FakeAgent:
    return FakeAgent(FakeClock())


async def drain(agent: FakeAgent) -> float:
    """Drain an endpoint; return the seconds since the agent accepted it."""
    drainer = EndpointDrainer(
        shard=ids.ShardName('orders/minas/booking-app'),
        guard=FakeGuard(),
        commander=agent,
        clock=agent.clock,
        longest_request_s=lambda: LONGEST_REQUEST_S,
        find_endpoint=agent.find,
        last_load=lambda _: agent.load,
    )
    await drainer.drain(ENDPOINT)
    assert agent.drained_s is not None
    return agent.clock.now_s - agent.drained_s


def load(running_count: int, age_ms: int = 0) -> messages.EndpointLoad:
    return messages.EndpointLoad(
        endpoint_id=ENDPOINT,
        running_count=running_count,
        waiting_count=0,
        age_ms=age_ms,
    )


async def test_stop_waits_for_an_agent_that_is_not_visible(
    agent: FakeAgent,
) -> None:
    """Guards against a stop that cuts off requests of other entries."""
    agent.visible_from_s = 500.0
    agent.load = (load(0), 1_000.0)
    await drain(agent)
    assert agent.drained_s is not None
    assert agent.drained_s >= 500.0


async def test_failed_commands_are_repeated(agent: FakeAgent) -> None:
    """Guards against a stop after a DRAIN that never arrived."""
    agent.failing_count = 3
    agent.load = (load(0), 1_000.0)
    await drain(agent)
    assert agent.failing_count == 0


@pytest.mark.parametrize(
    ('report', 'received_s', 'is_empty'),
    [
        (load(0), 101.0, True),
        (load(1), 101.0, False),
        (load(0), 99.0, False),
        (load(0, age_ms=5_000), 101.0, False),
    ],
)
async def test_only_a_load_measured_after_the_drain_counts(
    agent: FakeAgent,
    report: messages.EndpointLoad,
    received_s: float,
    is_empty: bool,
) -> None:
    """Guards against a stop by a load report from before the drain."""
    agent.load = (report, received_s)
    duration_s = await drain(agent)
    assert (duration_s < LONGEST_REQUEST_S) == is_empty
