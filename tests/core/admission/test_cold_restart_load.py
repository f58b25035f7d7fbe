"""What callers get while all endpoints of a service are cold.

The load is that of one process after all endpoints have restarted: 60
requests a second for 5 s, which may take 1 s or 4 s. Six endpoints bear 12
requests a second each. Four processes, or 31, share them; the endpoints are
cold for the first 3 s and then run all requests.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission.dispatcher import Dispatcher
from dogwoodpost.core.cold_starts import ColdStartLimiter
from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.configuration import ColdStart
from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings
from dogwoodpost.errors import RequestError

SERVICE = ids.ServiceName('slate-lm')
ACCOUNT = ids.ClientAccountId('buyers')
PROCESS = ids.ProcessId('p0')
ENDPOINT_COUNT = 6
ALLOWANCE = 12
COLD_S = 3.0
WORK_S = 0.05
STEP_S = 0.02
REQUEST_INTERVAL_S = 1 / 60
END_S = 5.0


class KnownSenders:
    """A view in which the same processes always send."""

    def __init__(self, count: int) -> None:
        self._ids = {ids.ProcessId(f'p{number}') for number in range(count)}

    def senders(
        self, service: ids.ServiceName, now_s: float
    ) -> set[ids.ProcessId]:
        return self._ids


class Request(msgspec.Struct, eq=False):
    """A request and what became of it."""

    arrival_s: float
    limit_s: float
    priority: int = 0
    sent_s: float | None = None
    refused_s: float | None = None
    retry_after_s: float | None = None


class Simulation:
    """One process before endpoints that are cold at first."""

    def __init__(self, process_count: int) -> None:
        tracker = ColdTracker()
        self._router = Router(
            ids.AvailabilityZone('a'),
            ids.Region('r'),
            random.Random(1),
            RouterSettings(overcommit_factor=1.0),
        )
        for number in range(ENDPOINT_COUNT):
            endpoint_id = ids.EndpointId(f'e{number}')
            tracker.note_entry(endpoint_id, COLD_S, 0.0)
            endpoint = Endpoint(
                endpoint_id=endpoint_id,
                service=SERVICE,
                availability_zone=ids.AvailabilityZone('a'),
                region=ids.Region('r'),
                capacity_count=8,
            )
            self._router.upsert(endpoint, 0.0)
        self._router.limit_cold_starts(
            ColdStartLimiter(
                PROCESS,
                tracker,
                KnownSenders(process_count),
                lambda _service: ColdStart(duration_s=COLD_S, rate_per_s=8.0),
                overage=ALLOWANCE / 8.0,
            )
        )
        self._admission = Admission()
        self._admission.set_limits(ACCOUNT, NO_LIMITS, 0.0)
        self._dispatcher = Dispatcher(self._admission, self._router)
        self._by_ticket: dict[int, Request] = {}
        self._running: list[tuple[float, Ticket, ids.EndpointId]] = []

    def cold_wait_s(self, query: RouteQuery) -> float | None:
        return self._router.cold_wait_s(query, 0, 0.0)

    def run(self, requests: list[Request]) -> list[Request]:
        arriving = list(requests)
        now_s = 0.0
        while now_s < END_S + 4.0:
            self._finish_due(now_s)
            while arriving and arriving[0].arrival_s <= now_s:
                self._submit(arriving.pop(0), now_s)
            for ticket in self._dispatcher.withdraw_late(SERVICE, now_s):
                self._by_ticket[id(ticket)].refused_s = now_s
            for overtaken in self._dispatcher.withdraw_overtaken(
                SERVICE, now_s
            ):
                request = self._by_ticket[id(overtaken.ticket)]
                request.refused_s = now_s
                request.retry_after_s = overtaken.wait_s
            for started in self._dispatcher.start_ready(SERVICE, now_s):
                self._by_ticket[id(started.ticket)].sent_s = now_s
                self._running.append(
                    (
                        now_s + WORK_S,
                        started.ticket,
                        started.endpoint.endpoint_id,
                    )
                )
            now_s += STEP_S
        return requests

    def _submit(self, request: Request, now_s: float) -> None:
        ticket = Ticket(
            request_id=ids.RequestId(str(request.arrival_s)),
            client_account_id=ACCOUNT,
            service=SERVICE,
            estimated_tokens=1.0,
            deadline_s=now_s + request.limit_s,
            enqueued_s=now_s,
            priority=request.priority,
        )
        self._by_ticket[id(ticket)] = request
        try:
            self._dispatcher.submit(
                ticket,
                RouteQuery(service=SERVICE),
                ids.AttemptId(ticket.request_id),
                now_s,
            )
        except RequestError as error:
            assert error.not_run
            request.refused_s = now_s
            request.retry_after_s = error.retry_after_s

    def _finish_due(self, now_s: float) -> None:
        due = [entry for entry in self._running if entry[0] <= now_s]
        self._running = [entry for entry in self._running if entry[0] > now_s]
        for _, ticket, endpoint_id in due:
            self._router.finish(
                SERVICE,
                endpoint_id,
                ids.AttemptId(ticket.request_id),
                AttemptResult(failed=False, duration_s=WORK_S),
                now_s,
            )
            self._admission.finish(ticket, 1.0, now_s)


def mixed_limits() -> list[Request]:
    return [
        Request(number * REQUEST_INTERVAL_S, 4.0 if number % 2 else 1.0)
        for number in range(int(END_S / REQUEST_INTERVAL_S))
    ]


def two_priorities(lower: int) -> list[Request]:
    """Return requests of 1.5 s, every second one with a lower priority."""
    return [
        Request(number * REQUEST_INTERVAL_S, 1.5, lower if number % 2 else 0)
        for number in range(int(END_S / REQUEST_INTERVAL_S))
    ]


@pytest.mark.parametrize('process_count', [4, 31])
def test_callers_are_served_or_refused_at_once(process_count: int) -> None:
    """Guards against requests that wait in vain for cold endpoints."""
    requests = Simulation(process_count).run(mixed_limits())
    for request in requests:
        if request.sent_s is not None:
            assert request.sent_s - request.arrival_s <= request.limit_s
            continue
        assert request.refused_s is not None
        assert request.refused_s - request.arrival_s <= 2 * STEP_S
        assert request.retry_after_s
        # Nothing is refused once the endpoints are warm.
        assert request.arrival_s < COLD_S
    # Those that can wait for the endpoints to warm up are not refused.
    patient = [request for request in requests if request.limit_s > COLD_S]
    assert all(request.sent_s is not None for request in patient)


@pytest.mark.parametrize('process_count', [4, 31])
def test_shares_of_cold_endpoints_are_used(process_count: int) -> None:
    """Guards against a limit that is exceeded, or leaves endpoints idle."""
    requests = Simulation(process_count).run(mixed_limits())
    share = ENDPOINT_COUNT * ALLOWANCE // process_count
    sent_s = [request.sent_s for request in requests if request.sent_s]
    cold_sends = sorted(sent for sent in sent_s if sent < COLD_S)
    for first_s in cold_sends:
        recent = [
            sent for sent in cold_sends if first_s <= sent < first_s + 1.0
        ]
        assert len(recent) <= max(share, ENDPOINT_COUNT)
    if process_count <= ALLOWANCE:
        assert len(cold_sends) >= share * (COLD_S - 1.0)


def test_urgent_requests_get_the_places_of_cold_endpoints() -> None:
    """Guards against urgent requests that are refused for the sake of others.

    The other requests are refused as soon as they can't be served in time,
    those that wait already too.
    """
    equal = Simulation(4).run(two_priorities(0))
    requests = Simulation(4).run(two_priorities(-1))
    urgent = requests[::2]
    others = requests[1::2]
    sent_count = sum(one.sent_s is not None for one in urgent)
    equal_count = sum(one.sent_s is not None for one in equal[::2])
    assert sent_count > equal_count
    refused = [one for one in requests if one.refused_s is not None]
    assert all(one.retry_after_s for one in refused)
    longest_wait_s = max(
        one.refused_s - one.arrival_s for one in refused if one.refused_s
    )
    assert longest_wait_s < 1.5
    # All places go to urgent requests while these alone are too many.
    settled = [one for one in others if 1.0 < one.arrival_s < COLD_S - 1.5]
    assert settled
    assert all(one.sent_s is None for one in settled)


def test_request_without_candidates_is_not_refused_as_cold() -> None:
    """Guards against a wrong reason while no version is loaded yet."""
    simulation = Simulation(process_count=4)
    query = RouteQuery(
        service=SERVICE, min_weight_version=ids.WeightVersion(2)
    )
    assert simulation.cold_wait_s(query) is None
    assert simulation.cold_wait_s(RouteQuery(service=SERVICE)) is not None
