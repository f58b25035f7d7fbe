"""Spreads leases over the processes that want them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids


def lease_rank(
    shard: ids.ShardName,
    own_id: ids.ProcessId,
    others: Iterable[ids.ProcessId],
) -> int:
    """Return this process's place for a shard, from 0, by rendezvous hashing.

    Processes that know different others may compute the same rank; the
    store's checks decide between them.
    """
    own_weight = _weight(shard, own_id)
    return sum(_weight(shard, other) > own_weight for other in others)


def _weight(shard: ids.ShardName, process_id: ids.ProcessId) -> int:
    return xxhash.xxh3_64_intdigest(f'{shard}\0{process_id}')
