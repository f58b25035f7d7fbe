"""Service quality of a plain service under peak load.

The load is that of one process on scale-1 of the grown Pizarra site: a steady
flow of buyers' quotes, and a burst of scoring requests after each training
step. The process uses six endpoints, each of which runs six requests at once;
two of the endpoints are nearby. Dispatching in order of arrival to the least
loaded endpoint serves as the baseline.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
from collections import deque
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission.dispatcher import Dispatcher
from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

SERVICE = 'quarry-app'
ENDPOINT_CAPACITY = 6
ENDPOINT_COUNT = 6
NEAR_ENDPOINT_COUNT = 2
DURATION_S = 24.0
MEAN_QUOTE_INTERVAL_S = 0.1
QUOTE_TARGET_S = 0.242
QUOTE_LIMIT_S = 3.0
BURST_INTERVAL_S = 4.0
BURST_REQUEST_COUNT = 400
SCORE_LIMIT_S = 1.0
REMOTE_DELAY_S = 0.04
POLL_INTERVAL_S = 0.02
LARGE_WORK_S = 0.12


class Request(msgspec.Struct, eq=False):
    """A simulated request and its result."""

    kind: str
    arrival_s: float
    work_s: float
    limit_s: float
    wait_s: float | None = None
    refused_after_s: float | None = None
    retry_after_s: float | None = None

    @property
    def duration_s(self) -> float | None:
        """Return the time until the response, None if there was none."""
        return None if self.wait_s is None else self.wait_s + self.work_s


def generate_requests(seed: int, burst_count: int) -> list[Request]:
    rng = random.Random(seed)
    generated = [
        Request('quote', now_s, rng.lognormvariate(-3.4, 0.5), QUOTE_LIMIT_S)
        for now_s in _quote_arrivals_s(rng)
    ]
    for number in range(1, int(DURATION_S / BURST_INTERVAL_S)):
        for _ in range(burst_count):
            work_s = rng.lognormvariate(-3.2, 0.5)
            arrival_s = number * BURST_INTERVAL_S + rng.uniform(0.0, 0.1)
            generated.append(
                Request('score', arrival_s, work_s, SCORE_LIMIT_S)
            )
    return sorted(generated, key=lambda request: request.arrival_s)


def _quote_arrivals_s(rng: random.Random) -> Iterator[float]:
    now_s = 0.0
    while now_s < DURATION_S:
        now_s += rng.expovariate(1.0 / MEAN_QUOTE_INTERVAL_S)
        yield now_s


def simulate_system(load: list[Request]) -> None:
    """Serve the load by the decisions of admission and routing."""
    router = _router()
    admission = Admission()
    for account_id in ('buyers', ''):
        admission.set_limits(account_id, NO_LIMITS, 0.0)
    dispatcher = Dispatcher(admission, router)
    by_ticket: dict[int, Request] = {}
    numbers = itertools.count()
    events: list[tuple[float, int, Ticket | Request | None, str]] = [
        (arriving.arrival_s, next(numbers), arriving, '') for arriving in load
    ]
    events += [
        (number * POLL_INTERVAL_S, next(numbers), None, '')
        for number in range(int((DURATION_S + 5.0) / POLL_INTERVAL_S))
    ]
    heapq.heapify(events)
    result = AttemptResult(failed=False, duration_s=0.05)
    while events:
        now_s, _, subject, endpoint_id = heapq.heappop(events)
        if isinstance(subject, Request):
            _submit(dispatcher, subject, by_ticket, now_s)
        elif isinstance(subject, Ticket):
            router.finish(
                SERVICE, endpoint_id, subject.request_id, result, now_s
            )
            admission.finish(subject, 1.0, now_s)
        for ticket in dispatcher.withdraw_late(SERVICE, now_s):
            late_request = by_ticket[id(ticket)]
            late_request.refused_after_s = now_s - late_request.arrival_s
        for started in dispatcher.start_ready(SERVICE, now_s):
            request = by_ticket[id(started.ticket)]
            network_delay_s = (
                0.0 if started.endpoint.region == 'near' else REMOTE_DELAY_S
            )
            request.wait_s = now_s - request.arrival_s + network_delay_s
            end_s = now_s + network_delay_s + request.work_s
            endpoint_id = started.endpoint.endpoint_id
            event = (end_s, next(numbers), started.ticket, endpoint_id)
            heapq.heappush(events, event)


def _router() -> Router:
    router = Router(
        'a', 'near', random.Random(1), RouterSettings(overcommit_factor=1.0)
    )
    for number in range(ENDPOINT_COUNT):
        near = number < NEAR_ENDPOINT_COUNT
        router.upsert(
            Endpoint(
                endpoint_id=f'e{number}',
                service=SERVICE,
                availability_zone='a' if near else 'z',
                region='near' if near else 'far',
                capacity_count=ENDPOINT_CAPACITY,
            ),
            0.0,
        )
    return router


def _submit(
    dispatcher: Dispatcher,
    request: Request,
    by_ticket: dict[int, Request],
    now_s: float,
) -> None:
    # Scoring requests belong to no client account.
    account_id = 'buyers' if request.kind == 'quote' else ''
    ticket = Ticket(
        request_id=f'{id(request)}',
        client_account_id=account_id,
        service=SERVICE,
        estimated_tokens=1.0,
        deadline_s=now_s + request.limit_s,
        enqueued_s=now_s,
    )
    query = RouteQuery(service=SERVICE, concurrency=32)
    try:
        dispatcher.submit(ticket, query, ticket.request_id, now_s)
    except RequestError as error:
        request.refused_after_s = 0.0
        request.retry_after_s = error.retry_after_s
        return
    by_ticket[id(ticket)] = request


def simulate_fifo(load: list[Request]) -> None:
    """Serve the load in order of arrival on the least loaded endpoint."""
    running = [0] * ENDPOINT_COUNT
    waiting: deque[Request] = deque()
    events: list[tuple[float, int, Request | int]] = []
    numbers = itertools.count()
    for arriving in load:
        heapq.heappush(events, (arriving.arrival_s, next(numbers), arriving))
    while events:
        now_s, _, subject = heapq.heappop(events)
        if isinstance(subject, Request):
            waiting.append(subject)
        else:
            running[subject] -= 1
        while waiting and min(running) < ENDPOINT_CAPACITY:
            request = waiting.popleft()
            waited_s = now_s - request.arrival_s
            if waited_s > request.limit_s:
                continue
            number = running.index(min(running))
            running[number] += 1
            network_delay_s = (
                0.0 if number < NEAR_ENDPOINT_COUNT else REMOTE_DELAY_S
            )
            request.wait_s = waited_s + network_delay_s
            end_s = now_s + network_delay_s + request.work_s
            heapq.heappush(events, (end_s, next(numbers), number))


def share(load: list[Request], kind: str, within_s: float) -> float:
    """Return the share of a kind's requests served within a time."""
    of_kind = [request for request in load if request.kind == kind]
    served = [
        request
        for request in of_kind
        if request.duration_s is not None and request.duration_s <= within_s
    ]
    return len(served) / len(of_kind)


@pytest.fixture(scope='module')
def played() -> dict[str, list[Request]]:
    """Return the same overload as served by the system and by the baseline."""
    loads = {}
    for name, simulate in (
        ('system', simulate_system),
        ('fifo', simulate_fifo),
    ):
        load = [
            request
            for seed in range(3)
            for request in _served_load(simulate, seed)
        ]
        loads[name] = load
    return loads


def _served_load(simulate: object, seed: int) -> list[Request]:
    load = generate_requests(seed, burst_count=BURST_REQUEST_COUNT)
    simulate(load)  # type: ignore[operator]
    return load


def test_bursts_do_not_delay_quotes(
    played: dict[str, list[Request]],
) -> None:
    """Guards against urgent requests that wait behind background work."""
    system = share(played['system'], 'quote', QUOTE_TARGET_S)
    fifo = share(played['fifo'], 'quote', QUOTE_TARGET_S)
    assert system > fifo
    assert system >= 0.97


def test_scoring_is_served_as_well_as_by_the_baseline(
    played: dict[str, list[Request]],
) -> None:
    """Guards against quotes served at the expense of scoring requests."""
    system = share(played['system'], 'score', SCORE_LIMIT_S)
    assert system >= share(played['fifo'], 'score', SCORE_LIMIT_S) - 0.02


def test_large_requests_are_not_starved(
    played: dict[str, list[Request]],
) -> None:
    """Guards against serving only the small requests of a kind."""
    load = [request for request in played['system'] if request.kind == 'score']
    large = [request for request in load if request.work_s >= LARGE_WORK_S]
    served = sum(request.wait_s is not None for request in large) / len(large)
    all_served = sum(request.wait_s is not None for request in load) / len(
        load
    )
    assert served >= 0.9 * all_served


def test_refusals_are_early_and_have_retry_after(
    played: dict[str, list[Request]],
) -> None:
    """Guards against refusals after a long wait or without Retry-After."""
    refused = [
        request
        for request in played['system']
        if request.refused_after_s is not None
    ]
    refusal_delays_s = [request.refused_after_s for request in refused]
    if refused:
        assert statistics.median(refusal_delays_s) <= 0.1 * SCORE_LIMIT_S
        assert max(refusal_delays_s) <= SCORE_LIMIT_S
    refused_on_arrival = [
        request for request in refused if request.refused_after_s == 0.0
    ]
    assert all(request.retry_after_s for request in refused_on_arrival)
