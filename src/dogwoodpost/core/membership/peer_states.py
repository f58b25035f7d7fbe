"""Newest loads and demands that other processes have sent directly."""

from __future__ import annotations

import math
from typing import Annotated
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core.membership.presence import PresenceRecord

# Three repeats of an unchanged state, which is sent every 0.4 s.
MAX_STATE_AGE_S = 1.2
_Count = Annotated[int, msgspec.Meta(ge=0)]


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Batch items of one trainer that run or wait at one process.

    A trainer is a model and a client account. Encoded as an array to keep
    datagrams small: new fields go last and have defaults.

    :param model: None for services with only one model.
    :param client_account_id: account of the jobs, None if they have none.
    :param running_count: items that hold a slot of an endpoint.
    :param waiting_count: items that wait for a slot.
    :param start_by_s: seconds from the send of the message until the most
        urgent waiting item must start to end by its due time; infinite if no
        item waits.
    """

    service: ids.ServiceName
    model: ids.ModelName | None = None
    client_account_id: ids.ClientAccountId | None = None
    running_count: _Count = 0
    waiting_count: _Count = 0
    start_by_s: float = math.inf


class PeerDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Demand of a trainer at another process.

    :param age_s: seconds since the demand was received.
    """

    process_id: ids.ProcessId
    demand: ItemDemand
    age_s: float


class PeerState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State that a process with batch items sends to others.

    Encoded as an array: new fields go last and have defaults, and a build that
    doesn't know them ignores them.

    :param sequence: increases with each state of an incarnation.
    :param heartbeat_sequence: number of the last heartbeat whose content was
        determined before this state. Compared with the number in the row, it
        tells which of the two is newer.
    :param complete: whether ``loads`` and ``demands`` name everything.
    :param loads: attempts of the process in flight, by endpoint.
    """

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    sequence: _Count
    heartbeat_sequence: _Count
    complete: bool = True
    loads: dict[ids.EndpointId, _Count] = msgspec.field(default_factory=dict)
    demands: tuple[ItemDemand, ...] = ()


class _ReceivedState(msgspec.Struct):
    """Last state of a process.

    :param loads: loads of the state, completed from earlier ones.
    :param base_sequence: heartbeat number as of which the loads of all
        endpoints were known.
    """

    state: PeerState
    loads: dict[ids.EndpointId, int]
    base_sequence: int
    received_s: float

    def is_recent(self, now_s: float) -> bool:
        """Return whether the state may still be used."""
        return now_s - self.received_s <= MAX_STATE_AGE_S


class PeerStates:
    """Keeps the newest state of each other process.

    Times are seconds of this process's monotonic clock.
    """

    def __init__(self) -> None:
        self._received: dict[ids.ProcessId, _ReceivedState] = {}

    def record(
        self, state: PeerState, row: PresenceRecord, now_s: float
    ) -> bool:
        """Record a state; return False if a newer one is known.

        A partial state replaces the loads of the endpoints that it names. The
        others keep their last loads, until a newer heartbeat row states them.

        :param row: last known row of the process, of the same incarnation.
        """
        process_id = state.process_id
        previous = self._received.get(process_id)
        if previous is not None:
            if previous.state.incarnation != state.incarnation:
                previous = None
            elif state.sequence <= previous.state.sequence:
                return False
        loads = state.loads
        base_sequence = state.heartbeat_sequence
        if not state.complete:
            base_loads: Mapping[ids.EndpointId, int] = row.loads
            base_sequence = row.sequence
            if previous and previous.base_sequence >= row.sequence:
                base_loads = previous.loads
                base_sequence = previous.base_sequence
            loads = {**base_loads, **state.loads}
        self._received[process_id] = _ReceivedState(
            state, loads, base_sequence, now_s
        )
        return True

    def forget(self, process_id: ids.ProcessId) -> None:
        """Drop the state of a process."""
        self._received.pop(process_id, None)

    def clear(self) -> None:
        """Drop all states."""
        self._received.clear()

    def current_ids(self, now_s: float) -> set[ids.ProcessId]:
        """Return the processes whose state is recent enough to be used."""
        return {
            process_id
            for process_id, received in self._received.items()
            if received.is_recent(now_s)
        }

    def newer_loads(
        self, process_id: ids.ProcessId, row: PresenceRecord, now_s: float
    ) -> dict[ids.EndpointId, int] | None:
        """Return the loads of a process if they are as new as its row.

        :returns: None if the loads of the row are to be used.
        """
        received = self._received.get(process_id)
        if (
            received is None
            or received.state.incarnation != row.incarnation
            or received.state.heartbeat_sequence < row.sequence
            or not received.is_recent(now_s)
        ):
            return None
        return received.loads

    def loads(
        self, now_s: float
    ) -> dict[ids.ProcessId, dict[ids.EndpointId, int]]:
        """Return the loads of each process with a recent state."""
        return {
            process_id: self._received[process_id].loads
            for process_id in self.current_ids(now_s)
        }

    def demands(self, now_s: float) -> list[PeerDemand]:
        """Return the demands of all processes with a recent state."""
        return [
            PeerDemand(
                process_id=process_id,
                demand=demand,
                age_s=now_s - received.received_s,
            )
            for process_id, received in self._received.items()
            if received.is_recent(now_s)
            for demand in received.state.demands
        ]
