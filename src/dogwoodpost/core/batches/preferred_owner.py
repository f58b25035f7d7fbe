"""Which process runs the batch jobs of one model."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.job import BatchJob

_HASH_RANGE = 2.0**64


def affinity_key(job: BatchJob) -> str:
    """Return what jobs have in common that run at the same endpoints."""
    return f'{job.host}/{job.model or ""}'


def preferred_owner(
    key: str, shares: Mapping[ids.ProcessId, float]
) -> ids.ProcessId | None:
    """Return the process that runs the jobs of a key, None without any.

    Load: a trainer has several jobs open, and its calls meet any process.
    Owners that fill the same endpoints know of each other's items by the
    next heartbeat only, so that endpoints turn items away, and each owner
    opens connections of its own. One owner for all places every item
    exactly.

    Weighted rendezvous hashing: all processes choose the same one without
    a message, and the loss of one moves its keys only.

    :param shares: processor capacity of the processes.
    """
    if not shares:
        return None
    return max(shares, key=lambda one: (_score(key, one, shares[one]), one))


def _score(key: str, process_id: ids.ProcessId, share: float) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}/{process_id}')
    unit = (digest + 1) / (_HASH_RANGE + 1)
    return -share / math.log(unit)
