"""Short soaks with fixed seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.soak.soak_run import run_soak

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize('seed', [1, 2])
async def test_guarantees_hold_under_faults(tmp_path: Path, seed: int) -> None:
    """Guards against broken guarantees under kills, cut links and outages."""
    report = await run_soak(
        seed, tmp_path, duration_s=6.0, node_count=2, fault_count=20
    )
    assert report.violations == ()
    assert report.served_count > 0
    assert report.job_count > 0
