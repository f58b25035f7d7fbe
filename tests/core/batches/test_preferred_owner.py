"""Choice of the process that runs the jobs of a model."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.preferred_owner import preferred_owner

SHARES = {ids.ProcessId(f'node-{number}'): 1.0 for number in range(5)}
KEYS = [f'host/model-{number}' for number in range(1_000)]


def owners(
    shares: dict[ids.ProcessId, float],
) -> dict[str, ids.ProcessId | None]:
    return {key: preferred_owner(key, shares) for key in KEYS}


def test_all_processes_choose_alike() -> None:
    """Guards against an order of processes that decides."""
    assert owners(SHARES) == owners(dict(reversed(SHARES.items())))


def test_only_the_keys_of_a_lost_process_move() -> None:
    """Guards against a loss that moves all jobs."""
    lost = ids.ProcessId('node-2')
    rest = {one: share for one, share in SHARES.items() if one != lost}
    after = owners(rest)
    for key, owner in owners(SHARES).items():
        assert owner == lost or after[key] == owner


def test_keys_follow_the_shares() -> None:
    """Guards against small hosts that run as many jobs as large ones."""
    small = ids.ProcessId('node-0')
    shares = {**SHARES, small: 0.2}
    counts = list(owners(shares).values())
    assert 20 <= counts.count(small) <= 75
    for name in SHARES.keys() - {small}:
        assert 180 <= counts.count(name) <= 300


@pytest.mark.parametrize('shares', [{}, {ids.ProcessId('only'): 0.1}])
def test_few_candidates(shares: dict[ids.ProcessId, float]) -> None:
    """Guards against a choice that needs several processes."""
    assert preferred_owner('key', shares) == next(iter(shares), None)
