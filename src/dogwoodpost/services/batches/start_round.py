"""One round of starts of waiting items under capacity shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.start_order import free_slot_count
from dogwoodpost.core.batches.start_order import StartOrder
from dogwoodpost.core.batches.start_order import unclaimed

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.group_needs import ItemNeed
    from dogwoodpost.core.batches.service_shares import ServiceShares
    from dogwoodpost.core.batches.start_order import Claims
    from dogwoodpost.core.batches.start_order import WaitingItem
    from dogwoodpost.core.batches.trainer import Trainer
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Endpoint

    OfferListener = Callable[[Iterable[AvailableEndpoint]], None]
    YieldListener = Callable[[WaitingItem, Claims, ServiceShares, float], None]


class StartRound:
    """Orders the waiting items and holds back those that yield.

    Only as many items yield as could start now. The others wait for capacity
    and keep their time to yield.

    :param items: waiting items by the number of their request.
    :param could_use: whether an endpoint may serve a trainer's waiting items.
    :param on_offer: called with endpoints whose free slots an item leaves to
        others.
    :param on_yield: called for each item that yields for the first time.
    """

    def __init__(
        self,
        items: Mapping[int, WaitingItem],
        shares: Mapping[ids.ServiceName, ServiceShares],
        could_use: Callable[[Trainer, Endpoint], bool],
        on_offer: OfferListener,
        on_yield: YieldListener,
        now_s: float,
    ) -> None:
        self._items = items
        self._shares = shares
        self._could_use = could_use
        self._on_offer = on_offer
        self._on_yield = on_yield
        self._now_s = now_s
        self._order = StartOrder(shares, now_s)
        # Slots that items with the same requirements, trainer and need leave
        # free and for which no further item has yielded yet.
        self._unyielded_counts: dict[
            tuple[tuple[object, ...], Trainer, ItemNeed], int
        ] = {}

    def items(self) -> Iterator[tuple[int, PlacementRequest]]:
        """Yield the requests in the order in which they may start."""
        for item in self._order.items(list(self._items.values())):
            yield item.order[-1], item.request

    def is_held(self, number: int, requirements: tuple[object, ...]) -> bool:
        """Return whether an item yields as one like it did in this round."""
        if not self._unyielded_counts:
            return False
        item = self._items[number]
        key = (requirements, item.trainer, item.need)
        unyielded_count = self._unyielded_counts.get(key)
        if unyielded_count is None or not item.may_yield(self._now_s):
            return False
        if unyielded_count:
            claims = self._order.claims(item)
            if claims is None:
                return False
            self._unyielded_counts[key] = unyielded_count - 1
            self._note_yield(item, claims)
        return True

    def open_candidates(
        self,
        number: int,
        requirements: tuple[object, ...],
        candidates: list[AvailableEndpoint],
    ) -> list[AvailableEndpoint]:
        """Return the endpoints that an item need not leave to others."""
        item = self._items[number]
        claims = self._order.claims(item) if candidates else None
        if claims is None:
            return candidates
        remaining = unclaimed(candidates, claims, self._could_use)
        if len(remaining) < len(candidates):
            self._on_offer(
                candidate
                for candidate in candidates
                if candidate not in remaining
            )
        if not remaining:
            key = (requirements, item.trainer, item.need)
            self._unyielded_counts[key] = free_slot_count(candidates) - 1
            self._note_yield(item, claims)
        return remaining

    def note_started(self, number: int) -> None:
        """Record that an item got a slot."""
        item = self._items[number]
        self._shares[item.trainer.service].note_started(item.trainer)

    def _note_yield(self, item: WaitingItem, claims: Claims) -> None:
        if item.first_yield_s is None:
            item.first_yield_s = self._now_s
            shares = self._shares[item.trainer.service]
            self._on_yield(item, claims, shares, self._now_s)
