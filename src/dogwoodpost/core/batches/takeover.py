"""Decides which process takes over a batch job whose owner is gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids

# Each process waits this much longer than the one ranked before it.
RANK_DELAY_S = 0.2
_MAX_RANK = 5


def takeover_delay_s(
    job_id: ids.JobId,
    process_id: ids.ProcessId,
    live_ids: Collection[ids.ProcessId],
) -> float:
    """Return how long a process waits before it claims an orphaned job.

    Each process computes its rank by rendezvous hashing, which spreads the
    jobs of a lost process over all others.

    :param live_ids: ids of the live processes.
    :return: delay in seconds.
    """
    own_weight = _weight(job_id, process_id)
    rank = sum(_weight(job_id, other_id) > own_weight for other_id in live_ids)
    return min(rank, _MAX_RANK) * RANK_DELAY_S


def _weight(job_id: ids.JobId, process_id: ids.ProcessId) -> int:
    return xxhash.xxh3_64_intdigest(f'{job_id}/{process_id}')
