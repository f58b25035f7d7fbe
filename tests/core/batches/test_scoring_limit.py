"""Limit on the concurrent scoring calls at one service."""

from __future__ import annotations

import random

import pytest

from dogwoodpost.core.batches.scoring_backoff import ScoringBackoff
from dogwoodpost.core.batches.scoring_limit import LimitChange
from dogwoodpost.core.batches.scoring_limit import MIN_LIMIT
from dogwoodpost.core.batches.scoring_limit import OverloadSign
from dogwoodpost.core.batches.scoring_limit import ScoringLimit

LATENCY_S = 0.045


def update(
    limit: ScoringLimit,
    now_s: float = 0.0,
    *,
    slots: int = 36,
    owners: int = 1,
    clients: bool = False,
) -> int:
    limit.update_bounds(
        slot_count=slots,
        max_share=0.75,
        owner_count=owners,
        clients_active=clients,
        now_s=now_s,
    )
    return limit.limit


def succeed(
    limit: ScoringLimit, count: int, now_s: float, latency_s: float = LATENCY_S
) -> list[LimitChange]:
    changes = [limit.record_success(latency_s, now_s) for _ in range(count)]
    return [change for change in changes if change is not None]


@pytest.fixture
def limit() -> ScoringLimit:
    limit = ScoringLimit()
    update(limit)
    return limit


@pytest.mark.parametrize(
    ('slots', 'owners', 'clients', 'expected'),
    [
        (36, 1, False, 36),
        (36, 1, True, 27),
        (36, 2, False, 18),
        (36, 2, True, 13),
        (36, 0, True, 27),
        (6, 10, True, MIN_LIMIT),
        (0, 1, False, MIN_LIMIT),
    ],
)
def test_bounds(
    limit: ScoringLimit, slots: int, owners: int, clients: bool, expected: int
) -> None:
    """Guards against scoring that takes clients' slots, or gets none."""
    limit_now = update(limit, slots=slots, owners=owners, clients=clients)
    assert limit_now == expected


def test_limit_grows_by_one_per_window_after_a_cut(
    limit: ScoringLimit,
) -> None:
    """Guards against a return to the load that was just too much."""
    change = limit.record_overload(OverloadSign.REFUSED, 0.0)
    assert change is LimitChange.CUT_REFUSED
    assert limit.limit == 25
    assert succeed(limit, 24, 0.1) == []
    assert succeed(limit, 1, 0.1) == [LimitChange.RAISED]
    assert limit.limit == 26
    # An endpoint that has just refused looks full.
    assert update(limit, 0.5) == 26
    assert succeed(limit, 200, 0.5) == [LimitChange.RAISED]
    assert limit.limit == 27
    assert update(limit, 1.1) == 27
    assert succeed(limit, 27, 1.2) == [LimitChange.RAISED]


def test_one_cut_for_calls_that_are_refused_together(
    limit: ScoringLimit,
) -> None:
    """Guards against a limit that one burst of refusals cuts to the least."""
    for _ in range(30):
        limit.record_overload(OverloadSign.REFUSED, 0.0)
    assert limit.limit == 25
    for number in range(1, 30):
        limit.record_overload(OverloadSign.TIMED_OUT, number * 1.0)
    assert limit.limit == MIN_LIMIT


def test_slow_calls_cut_the_limit_and_a_long_text_does_not(
    limit: ScoringLimit,
) -> None:
    """Guards against cuts by single texts that take long to score."""
    assert succeed(limit, 72, 0.0) == []
    limit.record_success(10 * LATENCY_S, 0.5)
    assert succeed(limit, 71, 1.0) == []
    assert succeed(limit, 36, 2.0, 2.5 * LATENCY_S) == [LimitChange.CUT_SLOW]
    assert limit.limit == 25
    # After ten seconds the slow pace is the usual one.
    assert LimitChange.CUT_SLOW not in succeed(
        limit, 100, 13.0, 2.5 * LATENCY_S
    )


def test_limit_grows_again_after_the_loss_of_all_endpoints(
    limit: ScoringLimit,
) -> None:
    """Guards against a burst at the first endpoint that returns."""
    assert update(limit, 1.0, slots=0) == MIN_LIMIT
    assert update(limit, 2.0, slots=6) == MIN_LIMIT
    assert update(limit, 3.0) == MIN_LIMIT
    assert len(succeed(limit, 2 + 3 + 4, 3.1)) == 3
    assert limit.limit == 5


def test_retry_delays_spread_and_grow_only_while_refused() -> None:
    """Guards against calls that are refused and return together."""
    rng = random.Random(5)
    refused = [
        [backoff.next_delay_s(rng, refused=True) for _ in range(6)]
        for backoff in (ScoringBackoff() for _ in range(400))
    ]
    for position, bound_s in enumerate((0.2, 0.4, 0.8, 1.0, 1.0, 1.0)):
        delays_s = [delays[position] for delays in refused]
        assert 0.05 <= min(delays_s) < 0.08
        assert 0.93 * bound_s < max(delays_s) <= bound_s
    backoff = ScoringBackoff()
    for _ in range(5):
        backoff.next_delay_s(rng, refused=True)
    assert backoff.next_delay_s(rng, refused=False) <= 0.2
