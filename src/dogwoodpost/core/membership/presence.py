"""Liveness of processes, from rows that they update periodically."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.expiring_keys import ExpiringKeys

if TYPE_CHECKING:
    from collections.abc import Iterator

# A process that sends no longer still counts as a sender until its last sends
# are over a second old.
FORMER_SENDER_S = 1.2


class PresenceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row that a process writes at each heartbeat.

    :param loads: attempts of the process in flight, by endpoint.
    :param leaving: whether a planned stop has begun.
    :param address: address for clients; empty if it serves none.
    :param peer_address: address for other processes; empty if it serves none.
    :param sender_services: services with endpoints that can be cold, to which
        the process may send.
    :param cores: processor capacity, in cores.
    :param datagram_address: address for datagrams of other processes; empty
        if it takes none.
    :param owns_items: whether batch items wait or run in the process; False
        if it exchanges no loads.
    :param memory_mb: memory in mebibytes; 0 if unknown.
    :param descriptor_count: descriptors that the process may open; 0 if
        unknown.
    :param link_mbps: bandwidth of the host's link in Mbit/s; 0 if unknown.
    """

    incarnation: ids.Incarnation
    sequence: int
    loads: dict[ids.EndpointId, int] = msgspec.field(default_factory=dict)
    leaving: bool = False
    address: str = ''
    peer_address: str = ''
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone('')
    cores: float = 1.0
    region: ids.Region = ids.Region('')
    sender_services: tuple[ids.ServiceName, ...] = ()
    datagram_address: str = ''
    owns_items: bool = False
    memory_mb: float = 0.0
    descriptor_count: int = 0
    link_mbps: float = 0.0


class _TrackedProcess(msgspec.Struct):
    record: PresenceRecord
    version: int
    changed_s: float


class PresenceTracker:
    """Detects dead processes by rows that no longer change.

    Only time during which the rows could be read counts: after a loss of
    contact with the store, the timeout of every process starts again.

    :param timeout_s: seconds without a new heartbeat after which a process
        counts as dead.
    :param max_gap_s: seconds between two reads of the rows, beyond which
        contact with the store counts as lost.
    """

    def __init__(self, timeout_s: float, max_gap_s: float) -> None:
        self._timeout_s = timeout_s
        self._max_gap_s = max_gap_s
        self._processes: dict[ids.ProcessId, _TrackedProcess] = {}
        self._contact_s: float | None = None
        self._former_senders: ExpiringKeys[
            tuple[ids.ServiceName, ids.ProcessId]
        ] = ExpiringKeys()

    def note_contact(self, now_s: float) -> None:
        """Record a successful read of all rows."""
        last_s = self._contact_s
        self._contact_s = now_s
        if last_s is None or now_s - last_s > self._max_gap_s:
            for process in self._processes.values():
                process.changed_s = now_s

    def observe(
        self,
        process_id: ids.ProcessId,
        record: PresenceRecord,
        version: int,
        now_s: float,
    ) -> None:
        """Record a row of a process; an older version has no effect."""
        process = self._processes.get(process_id)
        if process is not None and version <= process.version:
            return
        if process is not None:
            self._note_former_sender(process_id, process, record, now_s)
        self._processes[process_id] = _TrackedProcess(record, version, now_s)

    def forget(self, process_id: ids.ProcessId) -> None:
        """Drop a process whose row was deleted."""
        self._processes.pop(process_id, None)

    def is_alive(
        self,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        now_s: float,
    ) -> bool:
        """Return whether an incarnation may still be running."""
        process = self._processes.get(process_id)
        if process is None or process.record.incarnation != incarnation:
            return False
        return not self._is_silent(process, now_s)

    def live_process_ids(self, now_s: float) -> list[ids.ProcessId]:
        """Return the ids of the live processes that are not leaving."""
        return list(self.live(now_s))

    def live(self, now_s: float) -> dict[ids.ProcessId, PresenceRecord]:
        """Return the records of the live processes that are not leaving."""
        return {
            process_id: process.record
            for process_id, process in self._processes.items()
            if not process.record.leaving
            and not self._is_silent(process, now_s)
        }

    def senders(
        self, service: ids.ServiceName, now_s: float
    ) -> list[ids.ProcessId]:
        """Return the processes that send to a service, or did so just now."""
        current = [
            process_id
            for process_id, process in self._processes.items()
            if service in process.record.sender_services
            and not self._is_silent(process, now_s)
        ]
        former = [
            process_id
            for former_service, process_id in self._former_senders.current(
                now_s
            )
            if former_service == service
        ]
        return current + former

    def read_age_s(self, now_s: float) -> float:
        """Return the time since the rows were last read; infinite if never."""
        return math.inf if self._contact_s is None else now_s - self._contact_s

    def last_record(self, process_id: ids.ProcessId) -> PresenceRecord | None:
        """Return the last record of a process, None if it is unknown."""
        process = self._processes.get(process_id)
        return None if process is None else process.record

    def others(
        self, own_id: ids.ProcessId, now_s: float
    ) -> Iterator[tuple[ids.ProcessId, PresenceRecord, bool]]:
        """Yield the other processes, and whether each of them is silent."""
        for process_id, process in self._processes.items():
            if process_id != own_id:
                is_silent = self._is_silent(process, now_s)
                yield process_id, process.record, is_silent

    def is_silent(self, process_id: ids.ProcessId, now_s: float) -> bool:
        """Return whether a process is unknown or has no current row."""
        process = self._processes.get(process_id)
        return process is None or self._is_silent(process, now_s)

    def loads_of_others(
        self, own_id: ids.ProcessId, now_s: float
    ) -> dict[ids.EndpointId, int]:
        """Return the attempts of other live processes, by endpoint."""
        loads: dict[ids.EndpointId, int] = {}
        for _, record, is_silent in self.others(own_id, now_s):
            if is_silent:
                continue
            for endpoint_id, count in record.loads.items():
                loads[endpoint_id] = loads.get(endpoint_id, 0) + count
        return loads

    def _note_former_sender(
        self,
        process_id: ids.ProcessId,
        process: _TrackedProcess,
        record: PresenceRecord,
        now_s: float,
    ) -> None:
        """Remember the services that a process no longer announces."""
        services = process.record.sender_services
        for service in set(services) - set(record.sender_services):
            self._former_senders.add(
                (service, process_id), now_s + FORMER_SENDER_S
            )

    def _is_silent(self, process: _TrackedProcess, now_s: float) -> bool:
        """Return whether a row stayed unchanged while it could be read."""
        if self._contact_s is None:
            return False
        if now_s - self._contact_s > self._max_gap_s:
            return False
        return now_s - process.changed_s > self._timeout_s
