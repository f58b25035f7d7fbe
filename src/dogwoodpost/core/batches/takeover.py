"""Which process takes over a batch job whose owner is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids

# A lower-ranked process leaves the others this much time per rank.
RANK_DELAY_S = 0.2
_MAX_RANK = 5


def takeover_delay_s(
    job_id: ids.JobId,
    process_id: ids.ProcessId,
    alive: Collection[ids.ProcessId],
) -> float:
    """Return how long a process waits before it claims an orphaned job.

    Processes rank themselves by rendezvous hashing, so that the jobs of one
    lost process spread over all others.
    """
    own = _weight(job_id, process_id)
    rank = sum(_weight(job_id, one) > own for one in alive)
    return min(rank, _MAX_RANK) * RANK_DELAY_S


def _weight(job_id: ids.JobId, process_id: ids.ProcessId) -> int:
    return xxhash.xxh3_64_intdigest(f'{job_id}/{process_id}')
