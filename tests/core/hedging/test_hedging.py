"""When a slow request gets a second attempt, and where."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from dogwoodpost.core.hedging import HedgeBudget
from dogwoodpost.core.hedging import HedgePolicy
from dogwoodpost.core.hedging import HedgeRefusal
from dogwoodpost.core.hedging import LatencyWindow
from dogwoodpost.core.hedging import OverloadGuard
from dogwoodpost.core.hedging import second_endpoint
from dogwoodpost.core.hedging import ServiceHistory
from dogwoodpost.core.hedging import ServiceState
from dogwoodpost.core.policy import HedgingPolicy
from dogwoodpost.core.routing import AvailableEndpoint
from dogwoodpost.core.routing import EndpointSnapshot
from tests.fakes.pipeline import endpoint

SETTINGS = HedgingPolicy(extra_send_share=0.05)


def states(**overrides: dict[str, object]) -> ServiceState:
    """Return six endpoints in three zones, some of them changed."""
    endpoints = []
    for number in range(6):
        fields: dict[str, object] = {
            'endpoint_id': f'e{number}',
            'availability_zone': f'zone-{number % 3}',
            'is_ready': True,
            'in_use': True,
            'slot_count': 6,
            'load_count': 2,
        }
        fields.update(overrides.get('all', {}))
        fields.update(overrides.get(f'e{number}', {}))
        endpoints.append(EndpointSnapshot(**fields))
    return ServiceState(tuple(endpoints))


EJECTED = {'in_use': False}
GONE = {'in_use': False, 'is_ready': False}
CASES = [
    # settings, state, latencies, firsts, time left, refusal
    (SETTINGS, states(), 100, 1.0, None),
    (HedgingPolicy(), states(), 100, 1.0, HedgeRefusal.SWITCHED_OFF),
    (SETTINGS, states(), 19, 1.0, HedgeRefusal.FEW_LATENCIES),
    (SETTINGS, states(), 100, 0.03, HedgeRefusal.NO_TIME),
    (
        SETTINGS,
        ServiceState(states().endpoints, 1),
        100,
        1.0,
        HedgeRefusal.REQUESTS_WAIT,
    ),
    (
        SETTINGS,
        states(all={'load_count': 5}),
        100,
        1.0,
        HedgeRefusal.UTILIZATION,
    ),
    (SETTINGS, states(e0=EJECTED, e1=EJECTED), 100, 1.0, None),
    (
        SETTINGS,
        states(e0=EJECTED, e1=EJECTED, e2=EJECTED),
        100,
        1.0,
        HedgeRefusal.ENDPOINTS_LOST,
    ),
    (SETTINGS, states(e0=GONE, e3=GONE), 100, 1.0, HedgeRefusal.ZONE_LOST),
    (SETTINGS, ServiceState(()), 100, 1.0, HedgeRefusal.UTILIZATION),
    (HedgingPolicy(extra_send_share=0.009), states(), 100, 1.0, 'budget'),
]


@pytest.mark.parametrize(
    ('settings', 'state', 'latency_count', 'remaining_s', 'expected'), CASES
)
def test_load_decides_on_second_send(
    settings: HedgingPolicy,
    state: ServiceState,
    latency_count: int,
    remaining_s: float,
    expected: HedgeRefusal | str | None,
) -> None:
    """Guards against second sends into a service that has no room for them."""
    policy = HedgePolicy()
    history = ServiceHistory()
    history.observe(states(), 0.0)
    for number in range(latency_count):
        policy.begin(f'a{number}', number * 0.05)
        policy.end(f'a{number}', 0.03, number * 0.05 + 0.03)
    refusal = policy.refusal(settings, state, history, remaining_s, 6.0)
    assert refusal is (
        HedgeRefusal(expected) if isinstance(expected, str) else expected
    )
    # A lost zone forbids hedging for 30 s only.
    if expected is HedgeRefusal.ZONE_LOST:
        assert history.refusal(state, 37.0) is None


@hypothesis.given(
    st.lists(st.tuples(st.floats(0.0, 4.0), st.booleans()), max_size=200),
    st.sampled_from([0.05, 0.2]),
)
def test_second_sends_stay_within_their_share(
    steps: list[tuple[float, bool]], share: float
) -> None:
    """Guards against a burst of second sends, also after a quiet period."""
    budget = HedgeBudget()
    now_s = 0.0
    first_s: list[float] = []
    second_s: list[float] = []
    for step_s, is_dense in steps:
        now_s += step_s / 40 if is_dense else step_s
        budget.record_first(now_s)
        first_s.append(now_s)
        if not budget.allows(share, now_s):
            continue
        budget.record_second(now_s)
        second_s.append(now_s)
        first_count = sum(at_s > now_s - 10.0 for at_s in first_s)
        second_count = sum(at_s > now_s - 10.0 for at_s in second_s)
        assert second_count <= int(first_count * share)


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 9.0)), max_size=120
    ),
    st.floats(50.0, 99.9),
)
def test_percentile_covers_the_last_30_s(
    samples: list[tuple[float, float]], percentile: float
) -> None:
    """Guards against a delay from latencies that are too old or too few."""
    window = LatencyWindow()
    now_s = 0.0
    times: list[tuple[float, float]] = []
    for step_s, latency_s in samples:
        now_s += step_s
        window.record(latency_s, now_s)
        times.append((now_s, latency_s))
        recent = [value for at_s, value in times if at_s > now_s - 30.0]
        result_s = window.percentile_s(percentile, now_s)
        assert (result_s is None) == (len(recent) < 20)
        if result_s is not None:
            below_count = sum(value <= result_s for value in recent)
            assert below_count >= len(recent) * percentile / 100.0 - 1e-6


def test_slowdown_is_measured_by_the_delay_before_it() -> None:
    """Guards against a slowdown that soon counts as normal latency."""
    guard = OverloadGuard()
    for number in range(4):
        guard.begin(f'a{number}', 0.0)
    assert not guard.is_slowed_down(0.5, 95.0, 0.4)
    assert guard.is_slowed_down(0.5, 95.0, 0.6)
    assert guard.is_slowed_down(9.0, 95.0, 0.7)
    for number in range(4):
        guard.end(f'a{number}', 0.8)
    assert guard.is_slowed_down(9.0, 95.0, 1.7)
    assert not guard.is_slowed_down(9.0, 95.0, 1.9)


def test_all_slow_requests_are_a_slowdown_at_any_percentile() -> None:
    """Guards against a limit that more than all requests would have to pass.

    Three times the expected share at the 50th percentile is 150%.
    """
    guard = OverloadGuard()
    for number in range(4):
        guard.begin(f'a{number}', 0.0)
    assert guard.is_slowed_down(0.5, 50.0, 0.6)


def test_second_endpoint_shares_little_with_the_first() -> None:
    """Guards against two attempts that are slow for the same reason."""
    first = endpoint('first', 's', host_id='h1', availability_zone='a')
    choices = [
        (endpoint('full', 's', availability_zone='b'), 2),
        (endpoint('remote', 's', availability_zone='c', region='q'), 0),
        (endpoint('busy', 's', availability_zone='b'), 1),
        (endpoint('idle', 's', availability_zone='b'), 0),
        (endpoint('near', 's', availability_zone='a'), 0),
        (endpoint('same', 's', host_id='h1', availability_zone='b'), 0),
    ]
    random.Random(1).shuffle(choices)
    order = []
    while choices:
        available = [AvailableEndpoint(*choice) for choice in choices]
        chosen = second_endpoint(available, first, 2)
        if chosen is None:
            break
        order.append(chosen.endpoint_id)
        choices = [choice for choice in choices if choice[0] != chosen]
    assert order == ['idle', 'busy', 'remote', 'near', 'same']
