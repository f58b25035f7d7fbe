"""Addresses and liveness of the entries that an agent serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import MEMBER_PREFIX
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.core.membership import PeerLiveness
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import messages
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import TableStore

_SCAN_LIMIT = 1_000
_NO_INCARNATION = ids.Incarnation('')

_log = structlog.get_logger(__name__)


class EntryLink:
    """Connection state of one entry, identified by its address.

    ``process_id`` is None until the first heartbeat of the entry.
    """

    def __init__(self, address: str, now_s: float) -> None:
        self.address = address
        self.process_id: ids.ProcessId | None = None
        self.liveness = PeerLiveness(_NO_INCARNATION, now_s)
        self.is_sending_hello = False


class EntryLinks:
    """Links to the entries from settings, table store and heartbeats."""

    def __init__(
        self,
        seed_addresses: Iterable[str],
        tables: TableStore,
        transport: PeerTransport,
        now_s: float,
    ) -> None:
        self._seeds = frozenset(seed_addresses)
        self._tables = tables
        self._transport = transport
        self._registered: frozenset[str] = frozenset()
        self._links: dict[str, EntryLink] = {}
        for address in self._seeds:
            self._links[address] = EntryLink(address, now_s)

    def all(self) -> list[EntryLink]:
        """Return the links to all known entries."""
        return list(self._links.values())

    def live(self, now_s: float) -> list[EntryLink]:
        """Return the links to entries whose heartbeats arrive in time."""
        return [
            link
            for link in self._links.values()
            if link.process_id is not None
            and not link.liveness.is_silent(now_s)
        ]

    async def read_registrations(self, now_s: float) -> None:
        """Read the registered entries from the table store.

        If the store fails, the entries of the last read are kept.
        """
        rows: list[Row] = []
        try:
            while True:
                after = rows[-1].key if rows else ''
                page = await self._tables.scan(
                    MEMBER_PREFIX, after=after, limit=_SCAN_LIMIT
                )
                rows += page
                if len(page) < _SCAN_LIMIT:
                    break
        except StoreError as error:
            _log.info('entries_not_read', error=str(error))
            return
        addresses = set()
        for row in rows:
            try:
                entry = decode_json(row.value, EntryRow)
            except MalformedDataError:
                _log.warning('malformed_entry_row', key=row.key)
                continue
            addresses.add(entry.peer_address)
        self._registered = frozenset(addresses)
        for address in self._registered:
            self._add(address, now_s)

    def record_heartbeat(
        self, message: messages.EntryHeartbeat, now_s: float
    ) -> HeartbeatResult:
        """Record a heartbeat; a sender that is new gets a link."""
        link = self._add(message.sender_address, now_s)
        link.process_id = message.sender_id
        return link.liveness.record_heartbeat(
            message.sender_incarnation,
            message.sequence,
            message.echo_sequence,
            now_s,
        )

    def reopen_silent(self, now_s: float) -> None:
        """Reconnect to peers that are silent in either direction."""
        for link in self._links.values():
            if link.liveness.check_reconnect_due(now_s):
                self._transport.reconnect(link.address)

    def collect_dead_entries(self, now_s: float) -> list[ids.ProcessId]:
        """Return the entries that count as dead, whose attempts must end.

        Links to dead entries are removed unless the entry is a seed or is
        registered.
        """
        dead = []
        for link in self.all():
            if not link.liveness.is_gone(now_s):
                continue
            if link.process_id is not None:
                dead.append(link.process_id)
            permanent = self._seeds | self._registered
            if link.address not in permanent:
                del self._links[link.address]
                self._transport.reconnect(link.address)
        return dead

    def _add(self, address: str, now_s: float) -> EntryLink:
        link = self._links.get(address)
        if link is None:
            link = EntryLink(address, now_s)
            self._links[address] = link
        return link
