"""What endpoints and the platform have seen, checked after a soak."""

from __future__ import annotations

from collections import Counter
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tests.soak.soak_clients import SoakClients
    from tests.soak.soak_site import SoakSite

# What was on its way when a process was paused, or a link was harmed, may
# arrive just after the end.
_SLACK_S = 0.5


class DutyCall(Protocol):
    """A call under a fencing number."""

    holder: str
    fencing_token: int
    received_s: float


def check_endpoints(site: SoakSite, clients: SoakClients) -> list[str]:
    """Return requests that ran too often, or against a promise."""
    runs: Counter[str] = Counter()
    for endpoint, _ in site.endpoints():
        runs += endpoint.runs
    twice = [one for one in clients.unsafe if runs[one] > 1]
    promised = [one for one in clients.promised if runs[one]]
    return [f'{one} ran {runs[one]} times' for one in twice] + [
        f'{one} ran after a promise that it had not' for one in promised
    ]


def check_usage(site: SoakSite, healed_s: Sequence[float]) -> list[str]:
    """Return usage windows with two counts, and wrong holders."""
    counts: dict[int, set[tuple[tuple[str, int], ...]]] = {}
    for call in site.duties.calls:
        content = tuple(sorted(call.counts.items()))
        counts.setdefault(call.window, set()).add(content)
    doubled = [
        f'usage window {window}: {found}'
        for window, found in counts.items()
        if len(found) > 1
    ]
    return doubled + check_holders('usage', site.duties.calls, healed_s)


def check_orders(site: SoakSite, healed_s: Sequence[float]) -> list[str]:
    """Return orders from holders that were not alone."""
    found: list[str] = []
    for engine in site.engines:
        found += check_holders(engine.endpoint_id, engine.orders, healed_s)
    return found


def check_holders(
    subject: str, calls: Iterable[DutyCall], healed_s: Sequence[float]
) -> list[str]:
    """Return calls with a number that is old, or not the holder's own."""
    found: list[str] = []
    highest = 0
    holders: dict[int, str] = {}
    for call in calls:
        if any(0 <= call.received_s - at_s < _SLACK_S for at_s in healed_s):
            continue
        number = call.fencing_token
        if number < highest:
            found.append(f'{subject}: number {number} after {highest}')
        highest = max(highest, number)
        if holders.setdefault(number, call.holder) != call.holder:
            found.append(f'{subject}: two holders with number {number}')
    return found
