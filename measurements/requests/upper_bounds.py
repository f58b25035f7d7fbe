"""Upper bounds of cache hits and of fair shares for any policy."""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING

from dogwoodpost.core.routing.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from measurements.requests.workload import Request

_NEVER_USED_AGAIN = 1 << 60


def best_hit_tokens(requests: Sequence[Request], cache_blocks: int) -> int:
    """Return the cached prompt tokens of a clairvoyant cache.

    The memory of all engines counts as one cache, and the block whose next
    use is furthest away is evicted (Belady's rule). No placement on separate
    caches can hit more.
    """
    uses: dict[int, deque[int]] = defaultdict(deque)
    for index, request in enumerate(requests):
        for block in request.prefix:
            uses[block].append(index)
    cached: set[int] = set()
    eviction_heap: list[tuple[int, int]] = []
    hit_blocks = 0
    for request in requests:
        for block in request.prefix:
            hit_blocks += block in cached
            queue = uses[block]
            queue.popleft()
            next_use = queue[0] if queue else _NEVER_USED_AGAIN
            cached.add(block)
            heapq.heappush(eviction_heap, (-next_use, block))
        while len(cached) > cache_blocks:
            negative_use, block = heapq.heappop(eviction_heap)
            queue = uses[block]
            current = queue[0] if queue else _NEVER_USED_AGAIN
            if block in cached and -negative_use == current:
                cached.discard(block)
    return hit_blocks * BLOCK_TOKENS


def fair_shares(
    demands: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min fair allocation among equal accounts."""
    shares: dict[str, float] = {}
    remaining_capacity = capacity
    remaining = sorted(demands.items(), key=lambda item: item[1])
    while remaining:
        account, demand = remaining.pop(0)
        shares[account] = min(
            demand, remaining_capacity / (len(remaining) + 1)
        )
        remaining_capacity -= shares[account]
    return shares
