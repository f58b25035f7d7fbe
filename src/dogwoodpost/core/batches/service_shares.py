"""Shares of the slots of one service at one moment."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from dogwoodpost.core.batches.fair_shares import fair_shares
from dogwoodpost.core.batches.trainer import Trainer
from dogwoodpost.core.batches.trainer import trainer_of

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.peer_states import PeerDemand

# Processes repeat an unchanged state every 0.4 s, so an older one has missed
# two repeats and its sender may be gone.
MAX_DEMAND_AGE_S = 0.9
# Rounding errors must not make a share smaller by a whole slot.
_ROUNDING_SLOTS = 1e-6


class ServiceShares:
    """What each trainer runs, waits for and may run at a service.

    :param slot_count: requests that the service runs at once; 0 if unknown,
        and then every trainer is below its share.
    :param own_running: running items of this process, by trainer of any
        service.
    :param own_waiting: waiting items of this process that are not spare, by
        trainer of any service.
    :param peer_demands: demands of other processes, of any service and age.
    :param weights: weight by model name; others have 1.0.
    """

    def __init__(
        self,
        service: ids.ServiceName,
        slot_count: int,
        own_running: Mapping[Trainer, int],
        own_waiting: Mapping[Trainer, int],
        peer_demands: Iterable[PeerDemand],
        weights: Mapping[str, float],
    ) -> None:
        self._slot_count = slot_count
        self._running = _of_service(service, own_running)
        self.peer_waiting: Counter[Trainer] = Counter()
        self.peer_start_by_s: dict[Trainer, float] = {}
        for peer in peer_demands:
            is_recent = peer.age_s <= MAX_DEMAND_AGE_S
            if is_recent and peer.demand.service == service:
                self._add_peer(peer)
        demands = (
            self._running
            + _of_service(service, own_waiting)
            + self.peer_waiting
        )
        self._shares = fair_shares(
            slot_count,
            demands,
            {
                trainer: weights.get(trainer.model or '', 1.0)
                for trainer in demands
            },
        )
        self._missing_counts: dict[Trainer, int] = {}

    def running_count(self, trainer: Trainer) -> int:
        """Return the running items of a trainer in all processes."""
        return self._running[trainer]

    def share(self, trainer: Trainer) -> float:
        """Return a trainer's fair share, in slots."""
        return self._shares.get(trainer, 0.0)

    def is_below(self, trainer: Trainer) -> bool:
        """Return whether one more item fits into a trainer's share."""
        return not self._slot_count or self.missing_count(trainer) > 0

    def missing_count(self, trainer: Trainer) -> int:
        """Return the whole slots that a trainer lacks of its share."""
        count = self._missing_counts.get(trainer)
        if count is None:
            missing = self.share(trainer) - self._running[trainer]
            count = max(math.floor(missing + _ROUNDING_SLOTS), 0)
            self._missing_counts[trainer] = count
        return count

    def note_started(self, trainer: Trainer) -> None:
        """Record that an item of a trainer was started here."""
        self._running[trainer] += 1
        self._missing_counts.pop(trainer, None)

    def _add_peer(self, peer: PeerDemand) -> None:
        demand = peer.demand
        trainer = trainer_of(demand)
        self._running[trainer] += max(demand.running_count, 0)
        if demand.waiting_count <= 0:
            return
        self.peer_waiting[trainer] += demand.waiting_count
        self.peer_start_by_s[trainer] = min(
            demand.start_by_s - peer.age_s,
            self.peer_start_by_s.get(trainer, math.inf),
        )


def _of_service(
    service: ids.ServiceName, counts: Mapping[Trainer, int]
) -> Counter[Trainer]:
    return Counter(
        {
            trainer: count
            for trainer, count in counts.items()
            if trainer.service == service
        }
    )
