"""Scoring calls at a plain service that also serves clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import structlog

from dogwoodpost.core.policy import Policy
from dogwoodpost.standins.virtual_time import run_virtual
from tests.services.batches.scoring_world import ENABLED
from tests.services.batches.scoring_world import Process
from tests.services.batches.scoring_world import SCORING_PATH
from tests.services.batches.scoring_world import SimulatedService
from tests.services.batches.scoring_world import WORK_S

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

OFF = Policy()
WAIT_EVENT = 'scoring_calls_wait'
STEP_INTERVAL_S = 0.4
NO_WAIT_S = 0.0376


class Outcome:
    """What scoring and clients got in a simulation."""

    def __init__(self, service: SimulatedService) -> None:
        self.service = service
        self.step_durations_s: list[float] = []
        self.client_latencies_s: list[float] = []
        self.client_failures: list[str] = []

    @property
    def delayed_count(self) -> int:
        return sum(
            latency_s > NO_WAIT_S for latency_s in self.client_latencies_s
        )


async def play(
    policy: Policy,
    *,
    owner_count: int = 1,
    client_count: int = 110,
    refuses_when_full: bool = False,
) -> Outcome:
    """Play three steps of each owner; clients use the first owner."""
    service = SimulatedService(refuses_when_full=refuses_when_full)
    outcome = Outcome(service)
    owners = [
        Process(service, policy, owner_count) for _ in range(owner_count)
    ]
    clients = asyncio.create_task(owners[0].send_clients(client_count))
    await asyncio.sleep(0.1)
    for _ in range(3):
        outcome.step_durations_s += await asyncio.gather(
            *(owner.score_step() for owner in owners)
        )
        await asyncio.sleep(STEP_INTERVAL_S)
    await clients
    outcome.client_latencies_s = owners[0].client_latencies_s
    outcome.client_failures = owners[0].client_failures
    return outcome


def in_time(program: Coroutine[Any, Any, None]) -> None:
    """Run a program, in virtual time; a call that is lost fails it."""

    async def limited() -> None:
        async with asyncio.timeout(60.0):
            await program

    run_virtual(limited())


@pytest.mark.parametrize('owner_count', [1, 2])
@pytest.mark.parametrize('refuses_when_full', [False, True])
def test_clients_find_free_slots_at_the_end_of_a_step(
    owner_count: int, refuses_when_full: bool
) -> None:
    """Guards against clients that wait behind the scoring calls of a step.

    Without the limit some clients wait. With it none does, and the scores
    come at most one call later than the slots left to scoring permit.
    """
    off, limited = (
        run_virtual(
            play(
                policy,
                owner_count=owner_count,
                refuses_when_full=refuses_when_full,
            )
        )
        for policy in (OFF, ENABLED)
    )
    assert off.delayed_count > 0
    assert limited.delayed_count == 0
    assert limited.client_failures == []
    assert max(limited.step_durations_s) <= owner_count * 0.135 + 0.001
    # The owner without clients may use its half of all slots.
    peak = 27 if owner_count == 1 else 13 + 18
    assert limited.service.peak_scoring_count == peak


@pytest.mark.parametrize('owner_count', [1, 2])
def test_scoring_uses_all_slots_without_clients(owner_count: int) -> None:
    """Guards against slots that stay idle, and against calls beyond them."""
    off, limited = (
        run_virtual(play(policy, owner_count=owner_count, client_count=0))
        for policy in (OFF, ENABLED)
    )
    assert limited.service.peak_scoring_count == 36
    assert off.service.peak_scoring_count > 36
    assert max(limited.step_durations_s) <= max(off.step_durations_s) + 0.001


@pytest.mark.parametrize('is_registered', [True, False])
def test_no_call_is_lost_with_half_of_the_endpoints(
    is_registered: bool,
) -> None:
    """Guards against lost calls when endpoints fail or leave."""

    async def program() -> None:
        service = SimulatedService()
        process = Process(service, ENABLED)
        clients = asyncio.create_task(process.send_clients())
        step = asyncio.create_task(process.score_step(128))
        await asyncio.sleep(0.05)
        service.lost_ids = {'e0', 'e1', 'e2'}
        if not is_registered:
            process.set_endpoints(range(3, 6))
        assert await step < 3.0
        await process.score_step()
        await clients
        assert len(process.finished) == 192
        assert process.client_failures == []

    in_time(program())


def test_calls_back_off_while_the_service_refuses() -> None:
    """Guards against lost calls and a storm of repeated ones.

    The limit falls to the least, and all texts are scored afterwards.
    """

    async def program() -> None:
        service = SimulatedService()
        process = Process(service, ENABLED)
        service.refuses_all = True
        step = asyncio.create_task(process.score_step())
        await asyncio.sleep(5.0)
        assert process.finished == []
        assert process.event_count('scoring_limit_cut_refused') > 5
        service.refuses_all = False
        service.peak_scoring_count = 0
        assert await step < 10.0
        assert service.peak_scoring_count < 18
        assert process.event_count('scoring_limit_raised') > 3

    in_time(program())


def test_all_endpoints_are_lost_and_return() -> None:
    """Guards against calls that stay waiting when endpoints return."""

    async def program() -> None:
        process = Process(SimulatedService(), ENABLED)
        await process.score_step()
        process.set_endpoints(range(0))
        step = asyncio.create_task(process.score_step())
        await asyncio.sleep(3.0)
        process.set_endpoints(range(6))
        assert await step < 6.0

    in_time(program())


@pytest.mark.parametrize('waits', [True, False])
def test_cancelled_calls_give_up_their_turn(waits: bool) -> None:
    """Guards against turns that are lost with a cancelled item.

    One call is cancelled while it waits, or in the moment it may start.
    """

    async def program() -> None:
        service = SimulatedService()
        process = Process(service, ENABLED)
        process.set_endpoints(range(1))
        for _ in range(20):
            running = [process.score(f'running-{n}') for n in range(6)]
            await asyncio.sleep(0.001)
            cancelled = [process.score(f'cancelled-{n}') for n in range(4)]
            last = process.score('last')
            await asyncio.sleep(0.001)
            if not waits:
                await asyncio.wait(
                    running, return_when=asyncio.FIRST_COMPLETED
                )
            for task in cancelled:
                task.cancel()
            await asyncio.gather(*running, last)
        assert process.finished.count('last') == 20
        assert service.scoring_count == 0
        # All turns are still there.
        service.peak_scoring_count = 0
        await process.score_step(12)
        assert service.peak_scoring_count == 6

    in_time(program())


def test_calls_of_the_most_urgent_step_go_first() -> None:
    """Guards against a step that is late behind one with time left."""

    async def program() -> None:
        process = Process(SimulatedService(), ENABLED)
        first = [process.score(f'first-{n}', 10.0) for n in range(36)]
        await asyncio.sleep(0.001)
        relaxed = [process.score(f'relaxed-{n}', 9.0) for n in range(36)]
        urgent = [process.score(f'urgent-{n}', 5.0) for n in range(36)]
        await asyncio.gather(*first, *relaxed, *urgent)
        kinds = [name.split('-')[0] for name in process.finished]
        assert kinds == ['first'] * 36 + ['urgent'] * 36 + ['relaxed'] * 36

    in_time(program())


def test_policy_is_switched_at_run_time() -> None:
    """Guards against calls that wait for a limit that is off."""

    async def program() -> None:
        service = SimulatedService()
        process = Process(service, ENABLED, owner_count=18)
        step = asyncio.create_task(process.score_step())
        await asyncio.sleep(0.01)
        assert service.peak_scoring_count == 2
        process.policy.replace(OFF)
        await asyncio.sleep(0.06)
        assert service.peak_scoring_count == 42
        process.policy.replace(ENABLED)
        await step
        service.peak_scoring_count = 0
        await process.score_step(8)
        assert service.peak_scoring_count == 2

    in_time(program())


def test_switched_off_policy_changes_no_retry_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against other delays and metrics while the policy is off."""

    async def program() -> None:
        service = SimulatedService()
        process = Process(service)
        service.refuses_all = True
        delays_s: list[float] = []
        loop = asyncio.get_running_loop()
        loop.call_at(0.95, lambda: setattr(service, 'refuses_all', False))
        sleep = process.pipeline.clock.sleep

        async def recorded(duration_s: float) -> None:
            delays_s.append(duration_s)
            await sleep(duration_s)

        monkeypatch.setattr(process.scorer._clock, 'sleep', recorded)
        await process.score('text')
        assert delays_s == [0.1] * 10
        assert loop.time() == pytest.approx(1.0 + WORK_S[SCORING_PATH])
        assert b'scoring_' not in process.metrics.render()

    in_time(program())


def test_waiting_calls_are_reported() -> None:
    """Guards against waits that operators can't see, and a flood of lines."""

    async def program() -> None:
        process = Process(SimulatedService(), ENABLED, owner_count=18)
        with structlog.testing.capture_logs() as logs:
            duration_s = await process.score_step()
        lines = [line for line in logs if line['event'] == WAIT_EVENT]
        assert 2 <= len(lines) <= duration_s + 1
        assert lines[0]['limit'] == lines[0]['running'] == 2
        assert lines[0]['service'] == 'plain'
        assert lines[1]['waiting'] > 10
        assert process.metrics.percentile_s('scoring_wait', 99.0) > 1.0

    in_time(program())
