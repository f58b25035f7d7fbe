"""Runs one policy on one case."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from measurements.requests.baseline_entry import BaselineEntry
from measurements.requests.case import DURATION_S
from measurements.requests.case import WARM_UP_S
from measurements.requests.engine import CACHE_BLOCKS
from measurements.requests.engine import PREFILL_COST
from measurements.requests.engine import TOKENS_PER_S
from measurements.requests.environment import Environment
from measurements.requests.policy_entry import PolicyEntry
from measurements.requests.upper_bounds import best_hit_tokens
from measurements.requests.upper_bounds import fair_shares

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core.messages import Consumption
    from measurements.requests.case import Case
    from measurements.requests.entry_base import EntryBase
    from measurements.requests.entry_base import Record
    from measurements.requests.user import User
    from measurements.requests.workload import Request
    from measurements.requests.workload import Workload

POLICIES = ('round robin', 'least loaded', 'dogwoodpost')
_SHARE_INTERVAL_S = 1.0
_BYTES_PER_MIB = 1024 * 1024


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    :param goodput_share: work completed in time for the worst-served client
        account, as a share of its fair share.
    :param plain_share: the same for the plain service.
    :param p99_wait_s: p99 wait of the worst-served client account at the
        engine service.
    :param plain_p99_wait_s: the same for the plain service.
    :param hit_rate: share of the prompt tokens that were cached.
    :param best_hit_rate: hit rate of a clairvoyant cache on these requests.
    :param amplification: attempts per started request.
    """

    user: str
    case: str
    policy: str
    goodput_share: float
    plain_share: float
    p99_wait_s: float
    plain_p99_wait_s: float
    hit_rate: float
    best_hit_rate: float
    amplification: float
    cross_region_mib: float
    outcomes: dict[str, int]


def run_policy(
    user: User, case: Case, policy: str, workload: Workload
) -> Result:
    """Return the figures of one policy on one case."""
    environment = Environment(user, case)
    entries: dict[str, EntryBase] = {}
    for zone in user.zones:
        entry: EntryBase
        if policy == 'dogwoodpost':
            entry = PolicyEntry(environment, zone)
        else:
            entry = BaselineEntry(
                environment, zone, least_loaded=policy == 'least loaded'
            )
        entries[zone.name] = entry
        environment.join(entry, entry.listener)
    environment.schedule_faults()
    _share_consumption(environment, list(entries.values()))
    for request in workload.requests:
        _schedule(environment, entries[request.zone], request)
    environment.loop.run()
    records = [
        record for entry in entries.values() for record in entry.records
    ]
    return _result(environment, case, policy, records)


def _share_consumption(
    environment: Environment, entries: list[EntryBase]
) -> None:
    """Exchange the consumption of client accounts among policy entries."""
    policy_entries = [
        entry for entry in entries if isinstance(entry, PolicyEntry)
    ]

    def share() -> None:
        for origin in policy_entries:
            consumption = origin.admission.pop_consumption()
            for target in policy_entries:
                if target is not origin:
                    environment.send_between(
                        origin.zone,
                        target.zone,
                        _consumption_call(target, consumption),
                    )

    if policy_entries:
        environment.loop.every(_SHARE_INTERVAL_S, DURATION_S, share)


def _consumption_call(
    target: PolicyEntry, consumption: tuple[Consumption, ...]
) -> Callable[[], None]:
    return lambda: target.admission.apply_remote_consumption(consumption)


def _schedule(
    environment: Environment, entry: EntryBase, request: Request
) -> None:
    environment.loop.at(request.arrival_s, lambda: entry.arrive(request))


def _result(
    environment: Environment, case: Case, policy: str, records: list[Record]
) -> Result:
    user = environment.user
    model = [r for r in records if r.request.service == user.model_service]
    plain = [r for r in records if r.request.service == user.plain_service]
    engine_count = sum(zone.sampler_count for zone in user.zones)
    best_tokens = best_hit_tokens(
        environment.started, engine_count * CACHE_BLOCKS
    )
    best_rate = best_tokens / max(environment.prompt_tokens, 1)
    outcomes: dict[str, int] = defaultdict(int)
    for record in records:
        outcomes[record.outcome] += 1
    started_count = sum(record.attempt_count > 0 for record in records)
    attempt_count = sum(record.attempt_count for record in records)
    window_s = DURATION_S - WARM_UP_S
    capacity = engine_count * TOKENS_PER_S * window_s
    return Result(
        user=user.name,
        case=case.name,
        policy=policy,
        goodput_share=_goodput_share(model, best_rate, capacity),
        plain_share=_goodput_share(plain, best_rate, float('inf')),
        p99_wait_s=_worst_p99_wait_s(model),
        plain_p99_wait_s=_worst_p99_wait_s(plain),
        hit_rate=environment.cached_tokens / max(environment.prompt_tokens, 1),
        best_hit_rate=best_rate,
        amplification=attempt_count / max(started_count, 1),
        cross_region_mib=environment.cross_region_bytes / _BYTES_PER_MIB,
        outcomes=dict(outcomes),
    )


def _ideal_work(record: Record, best_rate: float) -> float:
    """Return the work of a request at the best possible hit rate."""
    uncached_tokens = record.request.prompt_tokens * (1.0 - best_rate)
    work = record.request.completion_tokens + uncached_tokens * PREFILL_COST
    return max(work, 1.0)


def _goodput_share(
    records: list[Record], best_rate: float, capacity: float
) -> float:
    """Return the worst ratio of completed work to fair share.

    Both are counted from the end of the warm-up to the end of the arrivals,
    so that the engines are in the same state at both ends.
    """
    demands: dict[str, float] = defaultdict(float)
    done: dict[str, float] = defaultdict(float)
    for record in records:
        work = _ideal_work(record, best_rate)
        if record.request.arrival_s >= WARM_UP_S:
            demands[record.request.account] += work
        if record.outcome == 'ok' and WARM_UP_S <= record.end_s <= DURATION_S:
            done[record.request.account] += work
    shares = fair_shares(demands, capacity)
    return min(done[account] / share for account, share in shares.items())


def _worst_p99_wait_s(records: list[Record]) -> float:
    waits: dict[str, list[float]] = defaultdict(list)
    for record in records:
        if record.outcome == 'ok':
            waits[record.request.account].append(record.wait_s)
    worst = 0.0
    for values in waits.values():
        values.sort()
        worst = max(worst, values[int(0.99 * (len(values) - 1))])
    return worst
