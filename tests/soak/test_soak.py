"""Short soaks with fixed seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.soak_run import run_soak

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize(
    ('seed', 'node_count'),
    [(1, 2), (2, 2), (3, 3)],
    ids=['1', '2', 'two_zones'],
)
async def test_guarantees_hold_under_faults(
    tmp_path: Path, seed: int, node_count: int
) -> None:
    """Guards against broken guarantees under faults.

    Processes are killed, links cut, zones lost and evacuated, and the store
    is away.
    """
    report = await run_soak(
        seed, tmp_path, duration_s=6.0, node_count=node_count, fault_count=20
    )
    assert report.violations == ()
    assert report.served_count > 0
    assert report.job_count > 0
