"""What callers of a plain service get on the heaviest days.

Load: scale-1 of the grown site of Pizarra at one process. Buyers' quotes come
evenly; a finished training step brings a burst of scoring requests. The
process reaches six endpoints of six places, two of them nearby.
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
CAPACITY = 6
ENDPOINT_COUNT = 6
NEAR_COUNT = 2
END_S = 24.0
QUOTE_GAP_S = 0.1
QUOTE_AIM_S = 0.242
QUOTE_LIMIT_S = 3.0
BURST_GAP_S = 4.0
BURST_COUNT = 400
SCORE_LIMIT_S = 1.0
REMOTE_S = 0.04
POLL_S = 0.02
LARGE_S = 0.12


class Request(msgspec.Struct, eq=False):
    """A request and how it ended."""

    kind: str
    arrival_s: float
    work_s: float
    limit_s: float
    wait_s: float | None = None
    refused_after_s: float | None = None
    retry_after_s: float | None = None

    @property
    def duration_s(self) -> float | None:
        """Return the time until the response, None without one."""
        return None if self.wait_s is None else self.wait_s + self.work_s


def requests(seed: int, burst_count: int) -> list[Request]:
    rng = random.Random(seed)
    found = [
        Request('quote', now_s, rng.lognormvariate(-3.4, 0.5), QUOTE_LIMIT_S)
        for now_s in _times(rng)
    ]
    for number in range(1, int(END_S / BURST_GAP_S)):
        for _ in range(burst_count):
            work_s = rng.lognormvariate(-3.2, 0.5)
            arrival_s = number * BURST_GAP_S + rng.uniform(0.0, 0.1)
            found.append(Request('score', arrival_s, work_s, SCORE_LIMIT_S))
    return sorted(found, key=lambda one: one.arrival_s)


def _times(rng: random.Random) -> Iterator[float]:
    now_s = 0.0
    while now_s < END_S:
        now_s += rng.expovariate(1.0 / QUOTE_GAP_S)
        yield now_s


def play_system(load: list[Request]) -> None:
    """Serve the load with the decisions of the product."""
    router = _router()
    admission = Admission()
    for account_id in ('buyers', ''):
        admission.set_limits(account_id, NO_LIMITS, 0.0)
    dispatcher = Dispatcher(admission, router)
    by_ticket: dict[int, Request] = {}
    numbers = itertools.count()
    events: list[tuple[float, int, Ticket | Request | None, str]] = [
        (one.arrival_s, next(numbers), one, '') for one in load
    ]
    events += [
        (number * POLL_S, next(numbers), None, '')
        for number in range(int((END_S + 5.0) / POLL_S))
    ]
    heapq.heapify(events)
    done = AttemptResult(failed=False, duration_s=0.05)
    while events:
        now_s, _, what, where = heapq.heappop(events)
        if isinstance(what, Request):
            _submit(dispatcher, what, by_ticket, now_s)
        elif isinstance(what, Ticket):
            router.finish(SERVICE, where, what.request_id, done, now_s)
            admission.finish(what, 1.0, now_s)
        for ticket in dispatcher.withdraw_late(SERVICE, now_s):
            late = by_ticket[id(ticket)]
            late.refused_after_s = now_s - late.arrival_s
        for started in dispatcher.start_ready(SERVICE, now_s):
            request = by_ticket[id(started.ticket)]
            far_s = 0.0 if started.endpoint.region == 'near' else REMOTE_S
            request.wait_s = now_s - request.arrival_s + far_s
            end_s = now_s + far_s + request.work_s
            where = started.endpoint.endpoint_id
            event = (end_s, next(numbers), started.ticket, where)
            heapq.heappush(events, event)


def _router() -> Router:
    router = Router(
        'a', 'near', random.Random(1), RouterSettings(room_share=1.0)
    )
    for number in range(ENDPOINT_COUNT):
        near = number < NEAR_COUNT
        router.upsert(
            Endpoint(
                endpoint_id=f'e{number}',
                service=SERVICE,
                availability_zone='a' if near else 'z',
                region='near' if near else 'far',
                capacity_count=CAPACITY,
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


def play_fifo(load: list[Request]) -> None:
    """Serve the load in order of arrival on the least loaded endpoint."""
    running = [0] * ENDPOINT_COUNT
    waiting: deque[Request] = deque()
    events: list[tuple[float, int, Request | int]] = []
    numbers = itertools.count()
    for one in load:
        heapq.heappush(events, (one.arrival_s, next(numbers), one))
    while events:
        now_s, _, what = heapq.heappop(events)
        if isinstance(what, Request):
            waiting.append(what)
        else:
            running[what] -= 1
        while waiting and min(running) < CAPACITY:
            request = waiting.popleft()
            waited_s = now_s - request.arrival_s
            if waited_s > request.limit_s:
                continue
            number = running.index(min(running))
            running[number] += 1
            far_s = 0.0 if number < NEAR_COUNT else REMOTE_S
            request.wait_s = waited_s + far_s
            end_s = now_s + far_s + request.work_s
            heapq.heappush(events, (end_s, next(numbers), number))


def share(load: list[Request], kind: str, within_s: float) -> float:
    """Return the share of a kind that is served within a time."""
    chosen = [one for one in load if one.kind == kind]
    served = [
        one
        for one in chosen
        if one.duration_s is not None and one.duration_s <= within_s
    ]
    return len(served) / len(chosen)


@pytest.fixture(scope='module')
def played() -> dict[str, list[Request]]:
    """Return the same overload, served in both ways."""
    found = {}
    for name, play in (('system', play_system), ('fifo', play_fifo)):
        load = [one for seed in range(3) for one in _played(play, seed)]
        found[name] = load
    return found


def _played(play: object, seed: int) -> list[Request]:
    load = requests(seed, burst_count=BURST_COUNT)
    play(load)  # type: ignore[operator]
    return load


def test_bursts_do_not_hold_up_buyers(
    played: dict[str, list[Request]],
) -> None:
    """Guards against urgent requests behind a burst of background work."""
    system = share(played['system'], 'quote', QUOTE_AIM_S)
    fifo = share(played['fifo'], 'quote', QUOTE_AIM_S)
    assert system > fifo
    assert system >= 0.97


def test_a_burst_is_served_as_well_as_in_order_of_arrival(
    played: dict[str, list[Request]],
) -> None:
    """Guards against scores that pay for the buyers."""
    system = share(played['system'], 'score', SCORE_LIMIT_S)
    assert system >= share(played['fifo'], 'score', SCORE_LIMIT_S) - 0.02


def test_large_requests_are_not_starved(
    played: dict[str, list[Request]],
) -> None:
    """Guards against a kind of which only the small ones are served."""
    load = [one for one in played['system'] if one.kind == 'score']
    large = [one for one in load if one.work_s >= LARGE_S]
    served = sum(one.wait_s is not None for one in large) / len(large)
    all_served = sum(one.wait_s is not None for one in load) / len(load)
    assert served >= 0.9 * all_served


def test_refusals_are_early_and_say_when_a_place_is_expected(
    played: dict[str, list[Request]],
) -> None:
    """Guards against requests that wait for their refusal."""
    refused = [
        one for one in played['system'] if one.refused_after_s is not None
    ]
    waits = [one.refused_after_s for one in refused]
    if refused:
        assert statistics.median(waits) <= 0.1 * SCORE_LIMIT_S
        assert max(waits) <= SCORE_LIMIT_S
    hinted = [one for one in refused if one.refused_after_s == 0.0]
    assert all(one.retry_after_s for one in hinted)
