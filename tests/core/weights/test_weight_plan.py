"""Planning of weight swaps."""

from __future__ import annotations

import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.weights import SwapAction
from dogwoodpost.core.weights import TokenBucket
from dogwoodpost.core.weights import WeightPlan
from dogwoodpost.core.weights.fan_out import best_fan_out
from dogwoodpost.core.weights.fan_out import depth
from dogwoodpost.core.weights.fan_out import spread_s
from dogwoodpost.core.weights.weight_plan import FROM_WEIGHT_STORE

TWO = ids.WeightVersion(2)
LOAD = EndpointAction.LOAD_WEIGHTS


def fleet(region_count: int, hosts: int, per_host: int) -> list[Endpoint]:
    return [
        Endpoint(
            endpoint_id=ids.EndpointId(f'e-{region}-{host:03d}-{number}'),
            service=ids.ServiceName('slate-lm'),
            host_id=ids.HostId(f'h-{region}-{host:03d}'),
            availability_zone=ids.AvailabilityZone(f'r{region}-a'),
            region=ids.Region(f'r{region}'),
            agent_id=ids.ProcessId(f'a-{region}-{host}'),
            agent_incarnation=ids.Incarnation('1'),
            agent_address='',
            weight_version=ids.WeightVersion(1),
            weights_url=f'http://h-{region}-{host:03d}',
        )
        for region in range(region_count)
        for host in range(hosts)
        for number in range(per_host)
    ]


def run_plan(
    plan: WeightPlan, *, failing: set[str], until_s: float
) -> list[SwapAction]:
    """Record a result for each order immediately; return all orders."""
    rng = random.Random(5)
    done = []
    now_s = 0.0
    while now_s < until_s and plan.pending():
        for action in plan.next_actions(now_s):
            done.append(action)
            is_accepted = action.endpoint.endpoint_id not in failing
            plan.record(action, accepted=is_accepted, now_s=now_s, rng=rng)
        now_s += 0.1
    return done


def test_one_copy_per_region_crosses_the_billed_link() -> None:
    """Guards against billed traffic that grows with the number of hosts."""
    plan = WeightPlan(TokenBucket(1.0, 1.0))
    plan.set_endpoints(fleet(2, 20, 3), 0.0)
    plan.announce(TWO)
    actions = run_plan(plan, failing=set(), until_s=10.0)
    assert not plan.pending()
    from_store = [
        action.endpoint.host_id
        for action in actions
        if FROM_WEIGHT_STORE in action.fetch_from
    ]
    assert sorted(set(from_store)) == ['h-0-000', 'h-1-000']
    loads = [action for action in actions if action.action is LOAD]
    assert len(loads) == 120
    for action in loads:
        assert action.fetch_from
        assert action.endpoint.weights_url not in action.fetch_from


def test_a_failed_swap_is_out_of_rotation_for_its_version_only() -> None:
    """Guards against requests for a failed endpoint, or one never retried."""
    plan = WeightPlan(TokenBucket(1.0, 1.0))
    endpoints = fleet(1, 2, 1)
    plan.set_endpoints(endpoints, 0.0)
    plan.announce(TWO)
    bad = endpoints[1].endpoint_id
    actions = run_plan(plan, failing={bad}, until_s=100.0)
    tries = [a for a in actions if a.endpoint.endpoint_id == bad]
    assert 3 <= len(tries) <= 30
    assert plan.out_of_rotation() == {bad}
    plan.announce(ids.WeightVersion(3))
    assert not plan.out_of_rotation()
    run_plan(plan, failing=set(), until_s=10.0)
    assert not plan.pending()


def test_another_host_becomes_the_root_when_one_fails() -> None:
    """Guards against a region that waits for a broken host."""
    plan = WeightPlan(TokenBucket(10.0, 1.0))
    endpoints = fleet(1, 3, 1)
    plan.set_endpoints(endpoints, 0.0)
    plan.announce(TWO)
    bad = endpoints[0].endpoint_id
    run_plan(plan, failing={bad}, until_s=10.0)
    assert plan.pending() == [bad]


def test_an_outdated_heartbeat_does_not_undo_a_switch() -> None:
    """Guards against a second load of a version that is already served."""
    plan = WeightPlan(TokenBucket(1.0, 1.0))
    endpoints = fleet(1, 1, 1)
    plan.set_endpoints(endpoints, 0.0)
    plan.announce(TWO)
    run_plan(plan, failing=set(), until_s=1.0)
    plan.set_endpoints(endpoints, 1.0)
    assert not plan.pending()
    plan.set_endpoints(endpoints, 60.0)
    assert plan.pending()


@pytest.mark.parametrize(
    ('hosts', 'fan_out', 'expected'), [(1, 2, 0), (3, 2, 1), (170, 2, 7)]
)
def test_depth_of_the_tree(hosts: int, fan_out: int, expected: int) -> None:
    """Guards against a wrong depth in the estimate of the spread."""
    assert depth(hosts, fan_out) == expected
    assert best_fan_out(hosts, copy_s=1e-6, hop_s=1.0) >= 2 or hosts < 3
    assert spread_s(1, fan_out, copy_s=1.0, hop_s=1.0) == 0.0


def test_the_bucket_keeps_to_its_rate_and_to_a_block() -> None:
    """Guards against more fetches than the rate of the weight store allows."""
    bucket = TokenBucket(2.0, 1.0)
    taken = sum(bucket.take(step / 100) for step in range(1000))
    assert 20 <= taken <= 21
    bucket.block(10.0, 30.0)
    assert not bucket.take(39.0)
    assert bucket.take(40.5)
