"""Runs one soak: processes, traffic, faults, recovery and checks."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.standins.site.sampler_app import SamplerFault
from tests.soak.soak_checks import check_endpoints
from tests.soak.soak_checks import check_evacuation
from tests.soak.soak_checks import check_orders
from tests.soak.soak_checks import check_usage
from tests.soak.soak_checks import EVACUATION_BOUND_S
from tests.soak.soak_clients import SoakClients
from tests.soak.soak_faults import FaultRunner
from tests.soak.soak_plan import draw_plan
from tests.soak.soak_plan import Fault
from tests.soak.soak_plan import FaultKind
from tests.soak.soak_site import SOAK_ZONES
from tests.soak.soak_site import SoakSite

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path

# Longest time from the end of all faults until requests are served again
# and all jobs are complete.
_RECOVERY_S = 15.0
_RECOVERY_POLL_S = 0.3
_MIN_SERVED_AFTER_COUNT = 10
# How long traffic goes on beyond the time by which a zone must be evacuated.
_EVACUATED_S = 1.5
_ITEM_FAILING_FAULTS = frozenset({SamplerFault.FAIL, SamplerFault.NEVER})


class SoakReport(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a soak."""

    faults: tuple[Fault, ...]
    served_count: int
    job_count: int
    violations: tuple[str, ...]


async def run_soak(
    seed: int,
    folder: Path,
    *,
    duration_s: float,
    node_count: int,
    fault_count: int,
) -> SoakReport:
    """Run a soak and return its results.

    :param seed: seed that the faults and the traffic are drawn from.
    :param folder: where the settings and logs of the processes are written.
    :param duration_s: duration of the traffic with faults, in seconds.
    """
    plan = draw_plan(seed, duration_s, fault_count)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=0)
            )
        )
        site = SoakSite(session, folder, node_count)
        await site.open(stack)
        clients = SoakClients(site, seed)
        faults = FaultRunner(site)
        await _run_phases(site, clients, faults, plan, duration_s)
        violations = [
            *clients.violations,
            *check_endpoints(site, clients),
            *check_usage(site, faults.fault_ends_s),
            *check_orders(site, faults.fault_ends_s),
            *[
                f'{node.name} exited unexpectedly'
                for node in site.nodes
                if node.has_crashed()
            ],
        ]
        return SoakReport(
            faults=tuple(plan),
            served_count=clients.served_count,
            job_count=len(clients.jobs),
            violations=tuple(violations),
        )


async def _run_phases(
    site: SoakSite,
    clients: SoakClients,
    faults: FaultRunner,
    plan: Sequence[Fault],
    duration_s: float,
) -> None:
    traffic_tasks = [
        asyncio.create_task(clients.send_requests()),
        asyncio.create_task(clients.submit_jobs()),
        asyncio.create_task(faults.apply_late_writes()),
    ]
    fault_tasks = [asyncio.create_task(faults.run(fault)) for fault in plan]
    try:
        await asyncio.sleep(duration_s)
        await asyncio.gather(*fault_tasks)
        await faults.end_all()
        for node in site.nodes:
            await site.wait_ready(node.address())
        await _recover_evacuated(site, clients, _plan_fails_items(plan))
    finally:
        for task in (*traffic_tasks, *fault_tasks):
            task.cancel()
        await asyncio.gather(
            *traffic_tasks, *fault_tasks, return_exceptions=True
        )


async def _recover_evacuated(
    site: SoakSite, clients: SoakClients, items_may_fail: bool
) -> None:
    """Check the recovery while one of the zones is evacuated."""
    zone = SOAK_ZONES[1]
    site.evacuate(zone)
    accepted_s = time.monotonic()
    await _recover(clients, items_may_fail)
    end_s = accepted_s + EVACUATION_BOUND_S + _EVACUATED_S
    await asyncio.sleep(end_s - time.monotonic())
    clients.violations += check_evacuation(site.engines_of(zone), accepted_s)


async def _recover(clients: SoakClients, items_may_fail: bool) -> None:
    """Wait until requests and jobs are served again; check all jobs."""
    served_before = clients.served_count
    jobs = list(clients.jobs)
    required_count = served_before + _MIN_SERVED_AFTER_COUNT
    await _wait_until(
        lambda: (
            clients.served_count >= required_count
            and all(clients.is_complete(job) for job in jobs)
        )
    )
    if clients.served_count < required_count:
        clients.violations.append('requests are not served after the faults')
    for job in jobs:
        if clients.is_complete(job):
            await clients.read_job(job)
            clients.check_results(job, items_may_fail=items_may_fail)
        else:
            clients.violations.append(
                f'job {job.job_id}: {len(job.results)} results'
            )


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, at most for the longest recovery time."""
    for _ in range(int(_RECOVERY_S / _RECOVERY_POLL_S)):
        if condition():
            return
        await asyncio.sleep(_RECOVERY_POLL_S)


def _plan_fails_items(plan: Sequence[Fault]) -> bool:
    """Return whether a planned endpoint fault may make items fail."""
    return any(
        fault.kind is FaultKind.ENDPOINT
        and fault.endpoint_fault in _ITEM_FAILING_FAULTS
        for fault in plan
    )
