"""Order in which waiting items start, and when they yield to others."""

from __future__ import annotations

import heapq
import operator
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.group_needs import ItemNeed
from dogwoodpost.core.batches.trainer import Trainer
from dogwoodpost.core.batches.trainer import trainer_of
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.batches.waiting_items import urgency_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.service_shares import ServiceShares
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Endpoint

# The demands of other processes may be wrong, so an item holds a free slot
# open for no longer than this, counted from its first yield.
MAX_YIELD_S = 0.4
MAX_SPARE_YIELD_S = 2.0
# An item with more time left than this yields to items of other trainers that
# must start within the second time.
_AMPLE_SLACK_S = 1.0
_URGENT_START_S = 0.3
# Late items go last for this long only. Otherwise a lasting overload would
# keep them from starting at all.
_MAX_LAST_S = 4.0
_ORDER = operator.attrgetter('order')
_RANKS = {ItemNeed.NEEDED: 0, ItemNeed.SPARE: 1, ItemNeed.LATE: 2}


class YieldReason(Enum):
    """Why an item leaves a free slot to another one; values are log fields."""

    SHARE = 'share'
    URGENCY = 'urgency'
    SPARE = 'spare'


class WaitingItem(msgspec.Struct):
    """A waiting item, as far as its order matters.

    :param order: key by which the items of a trainer are ordered: the latest
        time at which the item must start, its length, and its number.
    :param since_s: when it began to wait, on the process's clock.
    :param need: current need of its group.
    :param first_yield_s: when it first yielded, None if it never did.
    """

    request: PlacementRequest
    trainer: Trainer
    order: tuple[float, int, int]
    since_s: float
    need: ItemNeed = ItemNeed.NEEDED
    first_yield_s: float | None = None

    @classmethod
    def of(
        cls, number: int, request: PlacementRequest, now_s: float
    ) -> WaitingItem:
        """Return an item that begins to wait now."""
        order = (*urgency_key(request), number)
        return cls(request, trainer_of(request), order, now_s)

    def may_yield(self, now_s: float) -> bool:
        """Return whether the item has yielded for less than its limit."""
        if self.first_yield_s is None:
            return True
        is_spare = self.need is ItemNeed.SPARE
        limit_s = MAX_SPARE_YIELD_S if is_spare else MAX_YIELD_S
        return now_s - self.first_yield_s < limit_s


class Claims(msgspec.Struct, frozen=True):
    """Free slots that an item leaves to waiting items of other processes.

    :param slot_counts: claimed slots by trainer.
    """

    reason: YieldReason
    slot_counts: dict[Trainer, int]


class StartOrder:
    """Orders the waiting items of one process for one round of starts.

    :param shares: shares of each service for which items wait; kept current
        by the caller while items start.
    """

    def __init__(
        self, shares: Mapping[ids.ServiceName, ServiceShares], now_s: float
    ) -> None:
        self._shares = shares
        self._now_s = now_s

    def items(self, waiting: Iterable[WaitingItem]) -> Iterator[WaitingItem]:
        """Yield the items in the order in which they may start.

        Items that are needed come first, then those of trainers below their
        share, then those that must start soonest. The shares are looked at
        again after each item.
        """
        queues: dict[tuple[int, Trainer], list[WaitingItem]] = {}
        for item in waiting:
            queues.setdefault((self._rank(item), item.trainer), []).append(
                item
            )
        for queue in queues.values():
            queue.sort(key=_ORDER, reverse=True)
        heap = [self._entry(*key, queue) for key, queue in queues.items()]
        heapq.heapify(heap)
        while heap:
            rank, is_above, _, trainer = heapq.heappop(heap)
            queue = queues[rank, trainer]
            following = heap[0][:3] if heap else None
            shares = self._shares[trainer.service]
            # Items follow from the same queue while it stays the first one.
            while queue and shares.is_below(trainer) is not is_above:
                if following and (rank, is_above, queue[-1].order) > following:
                    break
                yield queue.pop()
            if queue:
                heapq.heappush(heap, self._entry(rank, trainer, queue))

    def claims(self, item: WaitingItem) -> Claims | None:
        """Return the slots that others should get first, None without any."""
        if not item.may_yield(self._now_s):
            return None
        shares = self._shares[item.request.service]
        if item.need is ItemNeed.SPARE and shares.peer_waiting:
            return Claims(YieldReason.SPARE, dict(shares.peer_waiting))
        if shares.is_below(item.trainer):
            return None
        missing = {
            trainer: min(waiting_count, shares.missing_count(trainer))
            for trainer, waiting_count in shares.peer_waiting.items()
            if trainer != item.trainer and shares.is_below(trainer)
        }
        urgent = self._urgent_claims(item, shares)
        if missing:
            return Claims(YieldReason.SHARE, urgent | missing)
        if urgent:
            return Claims(YieldReason.URGENCY, urgent)
        return None

    def _urgent_claims(
        self, item: WaitingItem, shares: ServiceShares
    ) -> dict[Trainer, int]:
        """Return one slot for each trainer with an item that must start.

        How many items must start is unknown, except that there is one.
        """
        if item.order[0] - self._now_s <= _AMPLE_SLACK_S:
            return {}
        return {
            trainer: 1
            for trainer, peer_start_by_s in shares.peer_start_by_s.items()
            if trainer != item.trainer and peer_start_by_s <= _URGENT_START_S
        }

    def _rank(self, item: WaitingItem) -> int:
        if item.need is ItemNeed.LATE:
            if self._now_s - item.since_s >= _MAX_LAST_S:
                return _RANKS[ItemNeed.NEEDED]
        return _RANKS[item.need]

    def _entry(
        self, rank: int, trainer: Trainer, queue: Sequence[WaitingItem]
    ) -> tuple[int, bool, tuple[float, int, int], Trainer]:
        """Return the entry of a queue in the heap of all queues."""
        is_above = not self._shares[trainer.service].is_below(trainer)
        return (rank, is_above, queue[-1].order, trainer)


def unclaimed(
    candidates: Sequence[AvailableEndpoint],
    claims: Claims,
    could_use: Callable[[Trainer, Endpoint], bool],
) -> list[AvailableEndpoint]:
    """Return the endpoints at which an item need not yield.

    These are all if more slots are free than others claim, and otherwise
    those that the others can't use.
    """
    claimed_count = 0
    contested: dict[ids.EndpointId, AvailableEndpoint] = {}
    for trainer, slot_count in claims.slot_counts.items():
        usable = {
            candidate.endpoint.endpoint_id: candidate
            for candidate in candidates
            if could_use(trainer, candidate.endpoint)
        }
        contested |= usable
        claimed_count += slot_count if usable else 0
    if free_slot_count(contested.values()) > claimed_count:
        return list(candidates)
    return [
        candidate
        for candidate in candidates
        if candidate.endpoint.endpoint_id not in contested
    ]


def free_slot_count(candidates: Iterable[AvailableEndpoint]) -> int:
    """Return the free slots of endpoints that are available.

    An endpoint that is filled beyond its capacity still counts as one slot,
    since the router offers it.
    """
    return sum(
        max(candidate.endpoint.capacity_count - candidate.load_count, 1)
        for candidate in candidates
    )
