"""Follows the registrations of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog
from mode import Service

from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import MEMBER_PREFIX
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.membership.entry_registry import EntryRegistry
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import TableStore

SCAN_INTERVAL_S = 5.0
SCAN_LIMIT = 1000

_logger = structlog.get_logger(__name__)


class EntryFollower(Service):
    """Reads the rows ``members/entry/`` at the start and every 5 s.

    While the store is down, the last known entries stay in use.
    """

    def __init__(
        self,
        tables: TableStore,
        entries: EntryRegistry,
        transport: PeerTransport,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._tables = tables
        self._entries = entries
        self._transport = transport
        self._clock = clock
        self._rng = rng

    async def on_start(self) -> None:
        """Start following."""
        self.add_future(self._follow())

    async def _follow(self) -> None:
        while not self.should_stop:
            await self.scan()
            # Agents that started together don't read the store together.
            delay_s = SCAN_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await self._clock.sleep(delay_s)

    async def scan(self) -> None:
        """Read the registrations once."""
        try:
            rows = await self._read_rows()
        except StoreError as error:
            _logger.info('entries_not_read', error=str(error))
            return
        addresses = []
        for row in rows:
            try:
                entry = msgspec.json.decode(row.value, type=EntryRow)
            except msgspec.MsgspecError as error:
                _logger.warning(
                    'malformed_entry_row', key=row.key, error=str(error)
                )
                continue
            addresses.append(entry.peer_address)
        for address in self._entries.update(
            addresses, self._clock.monotonic_s()
        ):
            self._transport.reconnect(address)

    async def _read_rows(self) -> list[Row]:
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ''
            found = await self._tables.scan(
                MEMBER_PREFIX, after=after, limit=SCAN_LIMIT
            )
            rows += found
            if len(found) < SCAN_LIMIT:
                return rows
