"""Distribution of orphaned jobs over the live processes."""

from __future__ import annotations

from collections import Counter

from dogwoodpost.core import ids
from dogwoodpost.core.batches.takeover import RANK_DELAY_S
from dogwoodpost.core.batches.takeover import takeover_delay_s

LIVE_IDS = [ids.ProcessId(f'node-{number}') for number in range(6)]


def test_one_process_claims_each_job_at_once() -> None:
    """Guards against jobs that are claimed by all processes or by none."""
    firsts: Counter[str] = Counter()
    for number in range(300):
        job_id = ids.JobId(f'job-{number}')
        delays = {
            process_id: takeover_delay_s(job_id, process_id, LIVE_IDS)
            for process_id in LIVE_IDS
        }
        first = [
            process_id
            for process_id, delay_s in delays.items()
            if delay_s == 0.0
        ]
        assert len(first) == 1
        assert sorted(delays.values())[1] == RANK_DELAY_S
        firsts[first[0]] += 1
    assert min(firsts.values()) > 25
