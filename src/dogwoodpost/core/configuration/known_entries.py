"""What one entry knows of the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

MEMBER_PREFIX = 'members/entry/'

# An unlisted entry counts as dead only if it has left queries unanswered for
# this long. The host list lags, so a new host may be missing from it.
DEAD_ENTRY_TIMEOUT_S = 30.0

# A vanished entry may serve what it read before for as long as a read is
# fresh.
REMOVED_ENTRY_GRACE_S = 3.0


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``members/entry/{id}``."""

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    host_id: ids.HostId
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    peer_address: str


def member_key(process_id: ids.ProcessId) -> str:
    """Return the key of an entry's registration."""
    return f'{MEMBER_PREFIX}{process_id}'


class KnownEntries:
    """Registered entries, those heard of otherwise, and the host list.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, own_id: ids.ProcessId) -> None:
        self._own_id = own_id
        self._rows: dict[ids.ProcessId, EntryRow] = {}
        self._first_scan_s: float | None = None
        self._last_scan_s: float | None = None
        self._last_drop_s: float | None = None
        self._vanished: dict[ids.ProcessId, float] = {}
        self._announced: dict[ids.ProcessId, tuple[str, float]] = {}
        self._unanswered_s: dict[ids.ProcessId, float] = {}
        self._listed_hosts: frozenset[ids.HostId] | None = None
        self._once_listed: set[ids.HostId] = set()

    @property
    def last_scan_s(self) -> float | None:
        """Return the start of the last successful scan."""
        return self._last_scan_s

    @property
    def last_drop_s(self) -> float | None:
        """Return the end of the last scan that no longer showed an entry."""
        return self._last_drop_s

    def row(self, process_id: ids.ProcessId) -> EntryRow | None:
        """Return an entry's registration as last scanned."""
        return self._rows.get(process_id)

    def record_scan(
        self, rows: Iterable[EntryRow], start_s: float, now_s: float
    ) -> None:
        """Take all registrations as one scan returned them."""
        if self._last_scan_s is not None and start_s < self._last_scan_s:
            return
        new = {
            row.process_id: row
            for row in rows
            if row.process_id != self._own_id
        }
        for process_id in self._rows:
            if process_id not in new:
                self._vanished[process_id] = now_s
                self._last_drop_s = now_s
        self._vanished = {
            process_id: vanished_s
            for process_id, vanished_s in self._vanished.items()
            if process_id not in new
            and now_s < vanished_s + REMOVED_ENTRY_GRACE_S
        }
        for process_id, (_, heard_s) in tuple(self._announced.items()):
            if heard_s < start_s:
                del self._announced[process_id]
                if process_id not in new:
                    self._last_drop_s = now_s
        self._unanswered_s = {
            process_id: asked_s
            for process_id, asked_s in self._unanswered_s.items()
            if process_id in new or process_id in self._announced
        }
        self._rows = new
        self._last_scan_s = start_s
        if self._first_scan_s is None:
            self._first_scan_s = now_s

    def record_hosts(self, host_ids: Iterable[ids.HostId]) -> None:
        """Take the live and leaving hosts."""
        self._listed_hosts = frozenset(host_ids)
        self._once_listed |= self._listed_hosts

    def record_message(
        self, process_id: ids.ProcessId, address: str, now_s: float
    ) -> None:
        """Note a message from another entry."""
        if process_id == self._own_id:
            return
        self._unanswered_s.pop(process_id, None)
        row = self._rows.get(process_id)
        if row is None or row.peer_address != address:
            self._announced[process_id] = (address, now_s)

    def record_query(self, process_id: ids.ProcessId, now_s: float) -> None:
        """Note a query to another entry; any message from it answers it."""
        self._unanswered_s.setdefault(process_id, now_s)

    def unlisted(self) -> list[ids.ProcessId]:
        """Return the registered entries whose host the list does not show."""
        if self._listed_hosts is None:
            return []
        return sorted(
            process_id
            for process_id, row in self._rows.items()
            if row.host_id not in self._listed_hosts
        )

    def has_silent(self, now_s: float) -> bool:
        """Return whether a registered entry has long been silent."""
        return any(
            self._silence_s(process_id, now_s) >= DEAD_ENTRY_TIMEOUT_S
            for process_id in self._rows
        )

    def addresses(self) -> dict[ids.ProcessId, str]:
        """Return where the other entries are reached."""
        addresses = {
            process_id: row.peer_address
            for process_id, row in self._rows.items()
        }
        for process_id, (address, _) in self._announced.items():
            addresses[process_id] = address
        return addresses

    def required_to_answer(self, now_s: float) -> frozenset[ids.ProcessId]:
        """Return the entries that must answer before the store counts as down.

        These are the registered ones whose host the list shows, and the ones
        that have announced themselves since the last scan.
        """
        live = {
            process_id
            for process_id, row in self._rows.items()
            if self._is_live(row, now_s)
        }
        return frozenset(live | self._announced.keys())

    def required_to_confirm(
        self, now_s: float
    ) -> frozenset[ids.ProcessId] | None:
        """Return the entries whose confirmation a change in force needs.

        None means that they are not known well enough: before the first scan
        another entry may have been removed that still serves from a read.
        """
        if self._first_scan_s is None:
            return None
        if now_s < self._first_scan_s + REMOVED_ENTRY_GRACE_S:
            return None
        lingering = {
            process_id
            for process_id, vanished_s in self._vanished.items()
            if now_s < vanished_s + REMOVED_ENTRY_GRACE_S
        }
        # Also those whose host is not listed: waiting for a dead entry costs
        # the freshness time at most, and a wrong list then does no harm.
        return frozenset(
            self._rows.keys() | lingering | self._announced.keys()
        )

    def dead_entries(self, now_s: float) -> list[EntryRow]:
        """Return registrations of dead entries."""
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
        if row.host_id in self._once_listed:
            return False
        return self._silence_s(row.process_id, now_s) < DEAD_ENTRY_TIMEOUT_S

    def _silence_s(self, process_id: ids.ProcessId, now_s: float) -> float:
        return now_s - self._unanswered_s.get(process_id, now_s)
