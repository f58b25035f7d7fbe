"""What each trainer runs and waits for at this process."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from dogwoodpost.core.batches.group_needs import ItemNeed
from dogwoodpost.core.batches.start_order import WaitingItem
from dogwoodpost.core.batches.trainer import Trainer
from dogwoodpost.core.batches.trainer import trainer_of
from dogwoodpost.core.membership.peer_states import ItemDemand

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.services.batches.job_needs import JobNeeds

# Hundreds of items wait at a time and rounds follow each other within
# milliseconds, so the needs are looked up less often unless an item was added.
_NEEDS_INTERVAL_S = 0.1


class TrainerDemands:
    """Running and waiting items of this process, by trainer.

    Spare items don't count as waiting, since their trainer does not need them.

    ``items`` has the waiting items by the number of their request.
    """

    def __init__(self, needs: JobNeeds) -> None:
        self._needs = needs
        self._needs_until_s = -math.inf
        self.items: dict[int, WaitingItem] = {}
        self.running: Counter[Trainer] = Counter()
        self.waiting: Counter[Trainer] = Counter()
        # Oldest version that each trainer last accepted here. Later steps of
        # the trainer accept no older one, wherever they run.
        self._min_versions: dict[Trainer, ids.WeightVersion] = {}

    def add_waiting(
        self, number: int, request: PlacementRequest, now_s: float
    ) -> None:
        """Record that an item waits for a slot."""
        self._needs.note_waiting(request)
        self._needs_until_s = -math.inf
        item = WaitingItem.of(number, request, now_s)
        self.items[number] = item
        self._count(item, 1)
        if request.min_version is not None:
            self._min_versions[item.trainer] = request.min_version

    def remove_waiting(self, number: int) -> None:
        """Remove an item that waits no longer; it may have a slot already."""
        item = self.items.pop(number, None)
        if item is not None:
            self._count(item, -1)

    def start(self, number: int, now_s: float) -> tuple[float, ItemNeed]:
        """Record that an item has a slot; return its wait and its need."""
        item = self.items.pop(number)
        self._count(item, -1)
        need = self._needs.need(item.request, now_s)
        self.running[item.trainer] += 1
        self._needs.note_started(item.request, now_s)
        return now_s - item.since_s, need

    def release(self, request: PlacementRequest) -> None:
        """Record that an item has released its slot."""
        trainer = trainer_of(request)
        self.running[trainer] -= 1
        if self.running[trainer] <= 0:
            del self.running[trainer]

    def update_needs(self, now_s: float) -> None:
        """Look up which items are needed, unless that was just done."""
        if now_s < self._needs_until_s:
            return
        self._needs_until_s = now_s + _NEEDS_INTERVAL_S
        for item in self.items.values():
            need = self._needs.need(item.request, now_s)
            if need is not item.need:
                self._count(item, -1)
                item.need = need
                self._count(item, 1)

    def may_accept(
        self, trainer: Trainer, version: ids.WeightVersion | None
    ) -> bool:
        """Return whether items of a trainer may accept a weight version.

        What they accept at other processes is not known, but a trainer's
        later steps accept nothing older than its steps here.

        :param version: None if the endpoint does not have the model.
        """
        if version is None:
            return False
        return version >= self._min_versions.get(trainer, version)

    def own_demands(self, now_s: float) -> tuple[ItemDemand, ...]:
        """Return the demand of each trainer.

        Late items don't count as urgent, since they can't end in time.
        """
        self.update_needs(now_s)
        start_by_s: dict[Trainer, float] = {}
        for item in self.items.values():
            if item.need is ItemNeed.NEEDED:
                start_by_s[item.trainer] = min(
                    item.order[0], start_by_s.get(item.trainer, math.inf)
                )
        return tuple(
            ItemDemand(
                service=trainer.service,
                model=trainer.model,
                client_account_id=trainer.client_account_id,
                running_count=self.running[trainer],
                waiting_count=self.waiting[trainer],
                start_by_s=start_by_s.get(trainer, math.inf) - now_s,
            )
            for trainer in {**self.running, **self.waiting}
        )

    def _count(self, item: WaitingItem, change: int) -> None:
        if item.need is ItemNeed.SPARE:
            return
        self.waiting[item.trainer] += change
        if self.waiting[item.trainer] <= 0:
            del self.waiting[item.trainer]
