"""Requests that wait for cold endpoints."""

from __future__ import annotations

import asyncio
import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.cold_starts import ColdStartLimiter
from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.configuration import ColdStart
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.request_queue import RequestQueue
from tests.fakes.pipeline import endpoint
from tests.fakes.pipeline import LoopClock

SERVICE = ids.ServiceName('quarry')
PROCESS = ids.ProcessId('p0')
COLD_S = 30.0
ALLOWANCE_PER_S = 2
LIMIT_S = 1.8


class OnlySender:
    """A view in which this process is the only one that sends."""

    def senders(
        self, service: ids.ServiceName, now_s: float
    ) -> set[ids.ProcessId]:
        return {PROCESS}


@pytest.fixture
async def queue() -> RequestQueue:
    """Return a queue in front of one cold endpoint."""
    clock = LoopClock()
    now_s = clock.monotonic_s()
    router = Router('a', 'r', random.Random(1))
    cold = endpoint('e0', SERVICE)
    tracker = ColdTracker()
    tracker.note_entry(cold.endpoint_id, COLD_S, now_s)
    router.upsert(cold, now_s)
    router.limit_cold_starts(
        ColdStartLimiter(
            PROCESS,
            tracker,
            OnlySender(),
            lambda _service: ColdStart(
                duration_s=COLD_S, rate_per_s=ALLOWANCE_PER_S
            ),
            overage=1.0,
        )
    )
    return RequestQueue(Admission(), router, clock)


def acquire(
    queue: RequestQueue, request_id: str, priority: int
) -> asyncio.Task[Endpoint]:
    now_s = LoopClock().monotonic_s()
    ticket = Ticket(
        request_id=ids.RequestId(request_id),
        client_account_id=ids.ClientAccountId('lab'),
        service=SERVICE,
        estimated_tokens=1.0,
        deadline_s=now_s + LIMIT_S,
        enqueued_s=now_s,
        priority=priority,
    )
    return asyncio.create_task(
        queue.acquire(
            ticket, RouteQuery(service=SERVICE), ids.AttemptId(request_id)
        )
    )


async def test_waiting_request_is_refused_once_urgent_ones_take_its_place(
    queue: RequestQueue,
) -> None:
    """Guards against a request that waits in vain until its limit."""
    for number in range(ALLOWANCE_PER_S):
        await acquire(queue, f'first-{number}', 0)
    waiting = acquire(queue, 'waiting', -1)
    await asyncio.sleep(0.05)
    assert not waiting.done()
    urgent = [
        acquire(queue, f'urgent-{number}', 0)
        for number in range(ALLOWANCE_PER_S)
    ]
    with pytest.raises(RequestError) as refusal:
        async with asyncio.timeout(0.5):
            await waiting
    assert refusal.value.code == 'endpoints_cold'
    assert refusal.value.not_run
    assert refusal.value.retry_after_s
    for task in urgent:
        assert (await task).endpoint_id == 'e0'
