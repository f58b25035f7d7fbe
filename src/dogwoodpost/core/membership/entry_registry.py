"""The entries that an agent knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.membership.peer_liveness import PeerLiveness
from dogwoodpost.core.membership.peer_liveness import SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages

# Reopening a connection takes one period of silence; after a second one the
# entry is taken to be dead.
DEAD_S = 2 * SILENCE_S


class KnownEntry:
    """An entry at an address, and what was heard of it."""

    def __init__(self, address: str, now_s: float) -> None:
        self.address = address
        self.process_id: ids.ProcessId | None = None
        self.incarnation: ids.Incarnation | None = None
        self.liveness = PeerLiveness(now_s)


class EntryRegistry:
    """Entries by address, from seeds and from registrations.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, seed_addresses: Iterable[str], now_s: float) -> None:
        self._seeds = frozenset(seed_addresses)
        self._entries: dict[str, KnownEntry] = {}
        self._add(self._seeds, now_s)

    def entries(self) -> list[KnownEntry]:
        """Return all known entries."""
        return list(self._entries.values())

    def entry(self, address: str) -> KnownEntry | None:
        """Return the entry at an address."""
        return self._entries.get(address)

    def update(self, addresses: Iterable[str], now_s: float) -> list[str]:
        """Take the registered addresses; return those no longer in use.

        An unlisted entry that is still heard stays known.
        """
        listed = self._seeds | frozenset(addresses)
        self._add(listed, now_s)
        gone = [
            address
            for address, entry in self._entries.items()
            if address not in listed
            and entry.liveness.silence_s(now_s) >= SILENCE_S
        ]
        for address in gone:
            del self._entries[address]
        return gone

    def hear(
        self, heartbeat: messages.EntryHeartbeat, now_s: float
    ) -> KnownEntry:
        """Take a heartbeat; a new incarnation begins anew."""
        address = heartbeat.sender_address
        entry = self._entries.get(address)
        if entry is None or entry.incarnation != heartbeat.sender_incarnation:
            sent = None if entry is None else entry.liveness
            entry = KnownEntry(address, now_s)
            entry.process_id = heartbeat.sender_id
            entry.incarnation = heartbeat.sender_incarnation
            if sent is not None:
                entry.liveness.take_over_sent(sent)
            self._entries[address] = entry
        entry.liveness.record_heard(
            heartbeat.sequence, heartbeat.echo_sequence, now_s
        )
        return entry

    def all_echoed(self, sequence: int, now_s: float) -> bool:
        """Return whether each live entry has received a heartbeat."""
        return all(
            entry.liveness.echoed_sequence >= sequence
            for entry in self._entries.values()
            if entry.process_id is not None and entry.liveness.is_live(now_s)
        )

    def has_live(self, now_s: float) -> bool:
        """Return whether any entry has been heard lately."""
        return any(
            entry.process_id is not None and entry.liveness.is_live(now_s)
            for entry in self._entries.values()
        )

    def is_dead(
        self, address: str, process_id: ids.ProcessId, now_s: float
    ) -> bool:
        """Return whether an entry has been silent for too long."""
        entry = self._entries.get(address)
        if entry is None or entry.process_id != process_id:
            return True
        return entry.liveness.silence_s(now_s) >= DEAD_S

    def _add(self, addresses: Iterable[str], now_s: float) -> None:
        for address in addresses:
            if address not in self._entries:
                self._entries[address] = KnownEntry(address, now_s)
