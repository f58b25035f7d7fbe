"""Registers this entry and follows the other registrations."""

from __future__ import annotations

import math
import uuid
from typing import TYPE_CHECKING

import msgspec
import structlog
from mode import Service

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import member_key
from dogwoodpost.core.configuration.known_entries import MEMBER_PREFIX
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.configuration.known_entries import KnownEntries
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.host_list import HostList
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import TableStore

# A scan of 20 rows has about 5 KB, the list of 340 hosts about 25 KB; both are
# read at once when something depends on them.
SCAN_INTERVAL_S = 10.0
HOSTS_INTERVAL_S = 120.0
HOSTS_MIN_INTERVAL_S = 2.0
RETRY_DELAY_S = 1.0
SCAN_LIMIT = 1000
REMOVE_TRIES = 3

_logger = structlog.get_logger(__name__)


class EntryRegistration(Service):
    """Keeps the row ``members/entry/{id}`` of this entry.

    ``host_list`` is optional for a system without one; all registered
    entries then count as live.
    """

    def __init__(
        self,
        own: EntryRow,
        tables: TableStore,
        host_list: HostList | None,
        known: KnownEntries,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.own = own
        self._tables = tables
        self._host_list = host_list
        self._known = known
        self._clock = clock
        self._rng = rng
        self._operation_id = _new_operation_id()
        self._hosts_read_s = -math.inf

    async def on_stop(self) -> None:
        """Remove the own row, so that the others no longer ask this entry."""
        await self.remove()

    async def register(self) -> None:
        """Write the own row.

        :raises StoreError: the store did not take it; call again.
        """
        key = member_key(self.own.process_id)
        value = msgspec.json.encode(self.own)
        await self._tables.commit(self._operation_id, [], [Write(key, value)])
        self._operation_id = _new_operation_id()

    def is_own_row(self, row: Row | None) -> bool:
        """Return whether a row registers this incarnation."""
        return row is not None and _decode(row) == self.own

    async def follow(self) -> None:
        """Keep following the other registrations and the host list."""
        while not self.should_stop:
            delay_s = SCAN_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await self._clock.sleep(delay_s)
            await self.scan()
            now_s = self._clock.monotonic_s()
            is_due = now_s - self._hosts_read_s >= HOSTS_INTERVAL_S
            if is_due or self._known.has_silent(now_s):
                await self.read_hosts()
            await self._remove_dead()

    async def scan(self) -> bool:
        """Read all registrations; return whether the store answered."""
        start_s = self._clock.monotonic_s()
        rows: list[Row] = []
        try:
            while True:
                after = rows[-1].key if rows else ''
                found = await self._tables.scan(
                    MEMBER_PREFIX, after=after, limit=SCAN_LIMIT
                )
                rows += found
                if len(found) < SCAN_LIMIT:
                    break
        except StoreError:
            return False
        entries = [entry for row in rows if (entry := _decode(row))]
        self._known.record_scan(entries, start_s, self._clock.monotonic_s())
        return True

    async def read_hosts(self) -> None:
        """Read the host list; on a failure the last one stays in use."""
        now_s = self._clock.monotonic_s()
        if self._host_list is None:
            return
        if now_s - self._hosts_read_s < HOSTS_MIN_INTERVAL_S:
            return
        self._hosts_read_s = now_s
        try:
            hosts = await self._host_list.hosts()
        except PlatformError:
            return
        self._known.record_hosts(host.host_id for host in hosts)

    async def remove(self) -> None:
        """Remove the own row, unless a new incarnation has replaced it."""
        for _ in range(REMOVE_TRIES):
            try:
                await self._remove_row(self.own)
            except StoreError as error:
                _logger.warning('registration_not_removed', error=str(error))
                await self._clock.sleep(self._rng.uniform(0, RETRY_DELAY_S))
            else:
                return

    async def _remove_dead(self) -> None:
        for row in self._known.removable(self._clock.monotonic_s()):
            try:
                await self._remove_row(row)
            except StoreError as error:
                _logger.info('dead_entry_not_removed', error=str(error))
                return
            _logger.info('dead_entry_removed', entry=row.process_id)

    async def _remove_row(self, expected: EntryRow) -> None:
        key = member_key(expected.process_id)
        row = (await self._tables.read([key])).get(key)
        if row is None or _decode(row) != expected:
            return
        await self._tables.commit(
            _new_operation_id(), [Check(key, row.version)], [Write(key, None)]
        )


def _decode(row: Row) -> EntryRow | None:
    try:
        return msgspec.json.decode(row.value, type=EntryRow)
    except msgspec.MsgspecError as error:
        _logger.error('malformed_entry_row', key=row.key, error=str(error))
        return None


def _new_operation_id() -> ids.OperationId:
    return ids.OperationId(f'member/{uuid.uuid4().hex}')
