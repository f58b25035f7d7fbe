"""Distribution of leases over the processes that compete for them."""

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
    """Return this process's rank for a shard, from 0, by rendezvous hashing.

    Two processes whose lists of other processes differ may compute the same
    rank. The checks of the store then let only one of them acquire the lease.
    """
    own_weight = _weight(shard, own_id)
    return sum(_weight(shard, other) > own_weight for other in others)


def _weight(shard: ids.ShardName, process_id: ids.ProcessId) -> int:
    return xxhash.xxh3_64_intdigest(f'{shard}\0{process_id}')
