"""Which processes of the system are alive, from rows that they rewrite."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class PresenceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a process writes of itself at each heartbeat.

    :param loads: own attempts in flight, by endpoint.
    :param leaving: a planned stop has begun.
    :param address: where clients call it, empty if they do not.
    :param peer_address: where other processes call it, empty if they do not.
    :param cores: processor capacity, in cores.
    """

    incarnation: ids.Incarnation
    sequence: int
    loads: dict[ids.EndpointId, int] = msgspec.field(default_factory=dict)
    leaving: bool = False
    address: str = ''
    peer_address: str = ''
    availability_zone: ids.AvailabilityZone = ids.AvailabilityZone('')
    cores: float = 1.0


class _Seen(msgspec.Struct):
    record: PresenceRecord
    version: int
    changed_s: float


class PresenceTracker:
    """Judges processes by how long their row has not changed.

    Only time during which the rows could be read counts: after a loss of
    contact with the store all processes get their whole time again.

    :param timeout_s: a process is gone after so long without a heartbeat.
    :param max_gap_s: longest time between two reads that keeps contact.
    """

    def __init__(self, timeout_s: float, max_gap_s: float) -> None:
        self._timeout_s = timeout_s
        self._max_gap_s = max_gap_s
        self._seen: dict[ids.ProcessId, _Seen] = {}
        self._contact_s: float | None = None

    def note_contact(self, now_s: float) -> None:
        """Note that the rows are known as of now."""
        last_s = self._contact_s
        self._contact_s = now_s
        if last_s is None or now_s - last_s > self._max_gap_s:
            for seen in self._seen.values():
                seen.changed_s = now_s

    def observe(
        self,
        process_id: ids.ProcessId,
        record: PresenceRecord,
        version: int,
        now_s: float,
    ) -> None:
        """Take a row; an older version has no effect."""
        seen = self._seen.get(process_id)
        if seen is not None and version <= seen.version:
            return
        self._seen[process_id] = _Seen(record, version, now_s)

    def forget(self, process_id: ids.ProcessId) -> None:
        """Note that a process's row was deleted."""
        self._seen.pop(process_id, None)

    def is_alive(
        self,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        now_s: float,
    ) -> bool:
        """Return whether an incarnation may still be at work."""
        seen = self._seen.get(process_id)
        if seen is None or seen.record.incarnation != incarnation:
            return False
        return not self._is_silent(seen, now_s)

    def live_process_ids(self, now_s: float) -> list[ids.ProcessId]:
        """Return the processes that are alive and not leaving."""
        return list(self.live(now_s))

    def live(self, now_s: float) -> dict[ids.ProcessId, PresenceRecord]:
        """Return what the live processes say that are not leaving."""
        return {
            process_id: seen.record
            for process_id, seen in self._seen.items()
            if not seen.record.leaving and not self._is_silent(seen, now_s)
        }

    def loads_of_others(
        self, own_id: ids.ProcessId, now_s: float
    ) -> dict[ids.EndpointId, int]:
        """Return the attempts of other live processes, by endpoint."""
        loads: dict[ids.EndpointId, int] = {}
        for process_id, seen in self._seen.items():
            if process_id == own_id or self._is_silent(seen, now_s):
                continue
            for endpoint_id, count in seen.record.loads.items():
                loads[endpoint_id] = loads.get(endpoint_id, 0) + count
        return loads

    def _is_silent(self, seen: _Seen, now_s: float) -> bool:
        """Return whether a process was silent while contact was kept."""
        if self._contact_s is None:
            return False
        if now_s - self._contact_s > self._max_gap_s:
            return False
        return now_s - seen.changed_s > self._timeout_s
