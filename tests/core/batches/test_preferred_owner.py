"""Choice of the process that runs the jobs of a model."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.preferred_owner import preferred_owner

CORE_COUNTS = {ids.ProcessId(f'node-{number}'): 1.0 for number in range(5)}
KEYS = [f'host/model-{number}' for number in range(1_000)]


def owners(
    core_counts: dict[ids.ProcessId, float],
) -> dict[str, ids.ProcessId | None]:
    return {key: preferred_owner(key, core_counts) for key in KEYS}


def test_all_processes_choose_the_same_owner() -> None:
    """Guards against a choice that depends on the order of processes."""
    assert owners(CORE_COUNTS) == owners(dict(reversed(CORE_COUNTS.items())))


def test_only_the_keys_of_a_lost_process_move() -> None:
    """Guards against moving all jobs when one process is lost."""
    lost = ids.ProcessId('node-2')
    rest = {
        process_id: core_count
        for process_id, core_count in CORE_COUNTS.items()
        if process_id != lost
    }
    after = owners(rest)
    for key, owner in owners(CORE_COUNTS).items():
        assert owner == lost or after[key] == owner


def test_keys_are_spread_by_core_counts() -> None:
    """Guards against small hosts that run as many jobs as large ones."""
    small = ids.ProcessId('node-0')
    core_counts = {**CORE_COUNTS, small: 0.2}
    counts = list(owners(core_counts).values())
    assert 20 <= counts.count(small) <= 75
    for name in CORE_COUNTS.keys() - {small}:
        assert 180 <= counts.count(name) <= 300


@pytest.mark.parametrize('core_counts', [{}, {ids.ProcessId('only'): 0.1}])
def test_none_or_one_candidate(
    core_counts: dict[ids.ProcessId, float],
) -> None:
    """Guards against a choice that fails without several processes."""
    assert preferred_owner('key', core_counts) == next(iter(core_counts), None)
