"""Decides when a process sends its state, and to which processes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.peer_states import ItemDemand
    from dogwoodpost.core.membership.presence import PresenceRecord

# An unchanged state is repeated, since datagrams may be lost.
REPEAT_INTERVAL_S = 0.4
# A trainer submits a job every 4 s, and its owner is idle in between.
OWNER_MEMORY_S = 3.0
MAX_DATAGRAMS_PER_S = 80.0
# Beyond this number of receivers, the interval grows in proportion.
_BASE_RECEIVER_COUNT = 8
# Smaller shifts of the latest start are not sent by themselves: they follow
# from estimates that vary with every event of an item.
_START_TOLERANCE_S = 0.2
_MS_PER_S = 1_000.0


class ExchangeSchedule:
    """Schedule of the messages of one process.

    All receivers get each message at the same time, so that it is encoded
    once. Times are seconds of the process's monotonic clock.
    """

    def __init__(self) -> None:
        self._owner_s: dict[ids.ProcessId, float] = {}
        self._sent_s = -math.inf
        self._sent_loads: dict[ids.EndpointId, int] = {}
        self._sent_demands: tuple[ItemDemand, ...] = ()
        self._sent_receivers: list[str] = []
        self.is_end_unsent = False

    def note_owner(self, process_id: ids.ProcessId, now_s: float) -> None:
        """Record that another process owns items."""
        self._owner_s[process_id] = now_s

    def receivers(
        self, peers: Mapping[ids.ProcessId, PresenceRecord], now_s: float
    ) -> list[str]:
        """Return the addresses of the processes that own items, or did.

        :param peers: records of the other live processes.
        """
        for process_id, record in peers.items():
            if record.owns_items:
                self._owner_s[process_id] = now_s
        self._owner_s = {
            process_id: owner_s
            for process_id, owner_s in self._owner_s.items()
            if now_s - owner_s <= OWNER_MEMORY_S
        }
        return [
            peers[process_id].datagram_address
            for process_id in self._owner_s
            if process_id in peers and peers[process_id].datagram_address
        ]

    def interval_s(self, interval_ms: int, receiver_count: int) -> float:
        """Return the shortest time between two messages to one process."""
        growth = max(receiver_count / _BASE_RECEIVER_COUNT, 1.0)
        return max(
            interval_ms / _MS_PER_S * growth,
            receiver_count / MAX_DATAGRAMS_PER_S,
        )

    def earliest_s(self, interval_s: float) -> float:
        """Return the earliest time of the next message."""
        return self._sent_s + interval_s

    def is_due(
        self,
        receivers: list[str],
        loads: dict[ids.EndpointId, int],
        demands: tuple[ItemDemand, ...],
        now_s: float,
    ) -> bool:
        """Return whether a state has changed or is to be repeated.

        It is also due if there is a receiver that didn't get the last one.
        """
        age_s = now_s - self._sent_s
        return (
            age_s >= REPEAT_INTERVAL_S
            or not set(receivers) <= set(self._sent_receivers)
            or loads != self._sent_loads
            or self._have_changed(demands, age_s)
        )

    def note_sent(
        self,
        receivers: list[str],
        loads: dict[ids.EndpointId, int],
        demands: tuple[ItemDemand, ...],
        now_s: float,
        *,
        owns_items: bool,
    ) -> None:
        """Record a message.

        :param owns_items: whether items wait or run; afterwards, a message
            about their end is still to be sent.
        """
        self._sent_s = now_s
        self._sent_receivers = receivers
        self._sent_loads = loads
        self._sent_demands = demands
        self.is_end_unsent = owns_items

    def _have_changed(
        self, demands: tuple[ItemDemand, ...], age_s: float
    ) -> bool:
        """Compare demands with those sent ``age_s`` ago.

        The relative start times of unchanged demands decrease with time.
        """
        if len(demands) != len(self._sent_demands):
            return True
        return any(
            _identity(demand) != _identity(sent)
            or _differs(demand.start_by_s, sent.start_by_s - age_s)
            for demand, sent in zip(demands, self._sent_demands, strict=True)
        )


def _identity(demand: ItemDemand) -> tuple[object, ...]:
    return (
        demand.service,
        demand.model,
        demand.client_account_id,
        demand.running_count,
        demand.waiting_count,
    )


def _differs(start_s: float, other_s: float) -> bool:
    if math.isinf(start_s) or math.isinf(other_s):
        return start_s != other_s
    return abs(start_s - other_s) > _START_TOLERANCE_S
