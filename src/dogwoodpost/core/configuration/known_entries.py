"""View that one entry has of the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

MEMBER_PREFIX = 'members/entry/'

# An entry whose host is not on the host list counts as dead only if it has
# not answered queries for this time. The list is updated with a delay, so a
# new host may be missing from it.
DEAD_ENTRY_TIMEOUT_S = 30.0

# An entry whose registration is gone may serve its last read of the store for
# as long as that read is fresh.
REMOVED_ENTRY_GRACE_S = 3.0


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``members/entry/{id}``, which registers an entry."""

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    host_id: ids.HostId
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    peer_address: str


def member_key(process_id: ids.ProcessId) -> str:
    """Return the row key of an entry's registration."""
    return f'{MEMBER_PREFIX}{process_id}'


class KnownEntries:
    """Registered entries, other entries that sent messages, and the host list.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, own_id: ids.ProcessId) -> None:
        self._own_id = own_id
        self._rows: dict[ids.ProcessId, EntryRow] = {}
        self._first_scan_s: float | None = None
        self._last_scan_s: float | None = None
        self._last_drop_s: float | None = None
        self._dropped_s: dict[ids.ProcessId, float] = {}
        # Address and time of the last message of entries that are not
        # registered under that address.
        self._heard_addresses: dict[ids.ProcessId, tuple[str, float]] = {}
        # When the first unanswered query was sent to an entry.
        self._unanswered_s: dict[ids.ProcessId, float] = {}
        self._listed_hosts: frozenset[ids.HostId] | None = None
        self._ever_listed_hosts: set[ids.HostId] = set()

    @property
    def last_scan_s(self) -> float | None:
        """Return the start of the last successful scan."""
        return self._last_scan_s

    @property
    def last_drop_s(self) -> float | None:
        """Return the end of the last scan that dropped an entry.

        None if no entry has been dropped.
        """
        return self._last_drop_s

    def row(self, process_id: ids.ProcessId) -> EntryRow | None:
        """Return an entry's registration from the last scan, or None."""
        return self._rows.get(process_id)

    def record_scan(
        self, rows: Iterable[EntryRow], start_s: float, now_s: float
    ) -> None:
        """Record the result of a scan of all registrations.

        :param start_s: when the scan began; an older scan has no effect.
        :param now_s: when the scan ended.
        """
        if self._last_scan_s is not None and start_s < self._last_scan_s:
            return
        new = {
            row.process_id: row
            for row in rows
            if row.process_id != self._own_id
        }
        for process_id in self._rows:
            if process_id not in new:
                self._dropped_s[process_id] = now_s
                self._last_drop_s = now_s
        self._dropped_s = {
            process_id: dropped_s
            for process_id, dropped_s in self._dropped_s.items()
            if process_id not in new
            and now_s < dropped_s + REMOVED_ENTRY_GRACE_S
        }
        for process_id, (_, heard_s) in tuple(self._heard_addresses.items()):
            if heard_s < start_s:
                del self._heard_addresses[process_id]
                if process_id not in new:
                    self._last_drop_s = now_s
        self._unanswered_s = {
            process_id: asked_s
            for process_id, asked_s in self._unanswered_s.items()
            if process_id in new or process_id in self._heard_addresses
        }
        self._rows = new
        self._last_scan_s = start_s
        if self._first_scan_s is None:
            self._first_scan_s = now_s

    def record_hosts(self, host_ids: Iterable[ids.HostId]) -> None:
        """Record the host list, which has the live and the leaving hosts."""
        self._listed_hosts = frozenset(host_ids)
        self._ever_listed_hosts |= self._listed_hosts

    def record_message(
        self, process_id: ids.ProcessId, address: str, now_s: float
    ) -> None:
        """Record a message from an entry, which answers all queries to it."""
        if process_id == self._own_id:
            return
        self._unanswered_s.pop(process_id, None)
        row = self._rows.get(process_id)
        if row is None or row.peer_address != address:
            self._heard_addresses[process_id] = (address, now_s)

    def record_query(self, process_id: ids.ProcessId, now_s: float) -> None:
        """Record a query to an entry; any message from it is an answer."""
        self._unanswered_s.setdefault(process_id, now_s)

    def unlisted(self) -> list[ids.ProcessId]:
        """Return the registered entries whose host is not on the host list."""
        if self._listed_hosts is None:
            return []
        return sorted(
            process_id
            for process_id, row in self._rows.items()
            if row.host_id not in self._listed_hosts
        )

    def has_silent(self, now_s: float) -> bool:
        """Return whether a registered entry has stopped answering queries."""
        return any(
            self._silence_s(process_id, now_s) >= DEAD_ENTRY_TIMEOUT_S
            for process_id in self._rows
        )

    def addresses(self) -> dict[ids.ProcessId, str]:
        """Return the peer addresses of the other entries."""
        addresses = {
            process_id: row.peer_address
            for process_id, row in self._rows.items()
        }
        for process_id, (address, _) in self._heard_addresses.items():
            addresses[process_id] = address
        return addresses

    def required_to_answer(self, now_s: float) -> frozenset[ids.ProcessId]:
        """Return the entries that must answer before the store counts as down.

        These are the registered entries whose host is on the host list, those
        whose host has never been on it and that still answer, and those that
        have sent a message from an unregistered address since the last scan.
        """
        live = {
            process_id
            for process_id, row in self._rows.items()
            if self._is_live(row, now_s)
        }
        return frozenset(live | self._heard_addresses.keys())

    def required_to_confirm(
        self, now_s: float
    ) -> frozenset[ids.ProcessId] | None:
        """Return the entries that must confirm a change before it is in force.

        None if they are not known yet: shortly before the first scan, the
        registration of an entry may have been removed that still serves its
        last read of the store.
        """
        if self._first_scan_s is None:
            return None
        if now_s < self._first_scan_s + REMOVED_ENTRY_GRACE_S:
            return None
        still_serving = {
            process_id
            for process_id, dropped_s in self._dropped_s.items()
            if now_s < dropped_s + REMOVED_ENTRY_GRACE_S
        }
        # Includes entries whose host is not on the list, so that a wrong list
        # does no harm. Waiting for a dead entry takes the freshness time at
        # most.
        return frozenset(
            self._rows.keys() | still_serving | self._heard_addresses.keys()
        )

    def dead_entries(self, now_s: float) -> list[EntryRow]:
        """Return the registrations of dead entries, which may be removed."""
        if self._listed_hosts is None:
            return []
        return [
            row
            for row in self._rows.values()
            if row.host_id not in self._listed_hosts
            and self._silence_s(row.process_id, now_s) >= DEAD_ENTRY_TIMEOUT_S
        ]

    def _is_live(self, row: EntryRow, now_s: float) -> bool:
        if self._listed_hosts is None or row.host_id in self._listed_hosts:
            return True
        if row.host_id in self._ever_listed_hosts:
            return False
        return self._silence_s(row.process_id, now_s) < DEAD_ENTRY_TIMEOUT_S

    def _silence_s(self, process_id: ids.ProcessId, now_s: float) -> float:
        return now_s - self._unanswered_s.get(process_id, now_s)
