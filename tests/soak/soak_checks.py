"""Checks the calls recorded by endpoints and the platform after a soak."""

from __future__ import annotations

from collections import Counter
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.standins.site.sampler_app import SamplerApp
    from tests.soak.soak_clients import SoakClients
    from tests.soak.soak_site import SoakSite

# A call in flight when a process was paused, or a link had a fault, may arrive
# just after the pause or the fault ends.
_IN_FLIGHT_GRACE_S = 0.5


# Nothing new may reach an evacuated zone later than this after the store has
# accepted the evacuation.
EVACUATION_BOUND_S = 5.0


class DutyCall(Protocol):
    """A call that carries the fencing number of a lease holder."""

    holder: str
    fencing_token: int
    received_s: float


def check_endpoints(site: SoakSite, clients: SoakClients) -> list[str]:
    """Return violations of the execution guarantees.

    A non-idempotent request must run at most once, and a request whose
    response says that it was not executed must not run at all.
    """
    runs: Counter[str] = Counter()
    for endpoint, _ in site.endpoints():
        runs += endpoint.runs
    repeated = [
        request_id
        for request_id in clients.non_idempotent_ids
        if runs[request_id] > 1
    ]
    wrongly_executed = [
        request_id
        for request_id in clients.not_executed_ids
        if runs[request_id]
    ]
    return [
        f'{request_id} ran {runs[request_id]} times' for request_id in repeated
    ] + [
        f'{request_id} ran although its response denied it'
        for request_id in wrongly_executed
    ]


def check_evacuation(
    engines: Iterable[SamplerApp], accepted_s: float
) -> list[str]:
    """Return engines of an evacuated zone that got requests too late.

    :param accepted_s: time at which the store accepted the evacuation.
    """
    bound_s = accepted_s + EVACUATION_BOUND_S
    violations: list[str] = []
    for engine in engines:
        late_s = [at_s for at_s in engine.arrivals_s if at_s > bound_s]
        if late_s:
            violations.append(
                f'{engine.endpoint_id}: {len(late_s)} requests after its '
                f'zone was evacuated, the last {late_s[-1] - accepted_s:.2f} '
                f's after'
            )
    return violations


def check_usage(site: SoakSite, fault_ends_s: Sequence[float]) -> list[str]:
    """Return usage windows with differing counts and fencing violations."""
    counts: dict[int, set[tuple[tuple[str, int], ...]]] = {}
    for call in site.duties.calls:
        content = tuple(sorted(call.counts.items()))
        counts.setdefault(call.window, set()).add(content)
    differing = [
        f'usage window {window}: {contents}'
        for window, contents in counts.items()
        if len(contents) > 1
    ]
    return differing + check_holders('usage', site.duties.calls, fault_ends_s)


def check_orders(site: SoakSite, fault_ends_s: Sequence[float]) -> list[str]:
    """Return fencing violations among the orders of each engine."""
    violations: list[str] = []
    for engine in site.engines:
        violations += check_holders(
            engine.endpoint_id, engine.orders, fault_ends_s
        )
    return violations


def check_holders(
    subject: str, calls: Iterable[DutyCall], fault_ends_s: Sequence[float]
) -> list[str]:
    """Return calls with an outdated fencing number or one of another holder.

    :param subject: what the calls are about, for the violation texts.
    :param fault_ends_s: times at which faults ended, in seconds; calls that
        are received just after them are ignored.
    """
    violations: list[str] = []
    highest = 0
    holders: dict[int, str] = {}
    for call in calls:
        if any(
            0 <= call.received_s - end_s < _IN_FLIGHT_GRACE_S
            for end_s in fault_ends_s
        ):
            continue
        number = call.fencing_token
        if number < highest:
            violations.append(f'{subject}: number {number} after {highest}')
        highest = max(highest, number)
        if holders.setdefault(number, call.holder) != call.holder:
            violations.append(f'{subject}: two holders with number {number}')
    return violations
