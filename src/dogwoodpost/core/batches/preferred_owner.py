"""Chooses the process that runs the batch jobs of one model."""

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
    """Return the key shared by jobs that run at the same endpoints."""
    return f'{job.host}/{job.model or ""}'


def preferred_owner(
    key: str, weights: Mapping[ids.ProcessId, float]
) -> ids.ProcessId | None:
    """Return the process that should run the jobs of an affinity key.

    A trainer has several jobs open, and its calls reach any process. Several
    owners of jobs at the same endpoints would learn of each other's items
    only with the next heartbeat, so that endpoints would refuse items, and
    each owner would open its own connections. A single owner knows all items
    that it has placed.

    The choice is made by weighted rendezvous hashing: all processes choose
    the same owner without exchanging messages, and the loss of a process
    moves only the keys of that process.

    :param weights: weight of each candidate process, such as its number of
        processor cores.
    :return: the chosen process, None without candidates.
    """
    if not weights:
        return None
    return max(
        weights,
        key=lambda process_id: (
            _score(key, process_id, weights[process_id]),
            process_id,
        ),
    )


def _score(key: str, process_id: ids.ProcessId, weight: float) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}/{process_id}')
    fraction = (digest + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(fraction)
