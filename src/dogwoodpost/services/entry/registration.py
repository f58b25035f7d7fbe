"""Registers this entry and reads the registrations of other entries."""

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
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
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

# Intervals of the regular reads. A scan of 20 rows transfers about 5 KB, the
# list of 340 hosts about 25 KB. When a decision depends on one of them, it is
# read immediately.
SCAN_INTERVAL_S = 10.0
HOST_LIST_INTERVAL_S = 120.0
MIN_HOST_LIST_INTERVAL_S = 2.0
MAX_RETRY_DELAY_S = 1.0
SCAN_PAGE_SIZE = 1000
MAX_REMOVE_ATTEMPTS = 3

_logger = structlog.get_logger(__name__)


class EntryRegistration(Service):
    """Maintains this entry's row ``members/entry/{id}`` in the table store.

    :param host_list: None on a platform without a host list; all registered
        entries then count as live.
    """

    def __init__(
        self,
        own_row: EntryRow,
        tables: TableStore,
        host_list: HostList | None,
        known_entries: KnownEntries,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.own_row = own_row
        self._tables = tables
        self._host_list = host_list
        self._known_entries = known_entries
        self._clock = clock
        self._rng = rng
        self._operation_id = _new_operation_id()
        self._last_host_read_s = -math.inf

    async def on_stop(self) -> None:
        """Remove this entry's row, so that others no longer query it."""
        await self.remove()

    async def register(self) -> None:
        """Write this entry's row.

        :raises StoreError: the write failed or its outcome is unknown; the
            caller may retry. A retry reuses the operation id.
        """
        key = member_key(self.own_row.process_id)
        value = msgspec.json.encode(self.own_row)
        await self._tables.commit(self._operation_id, [], [Write(key, value)])
        self._operation_id = _new_operation_id()

    def is_own_row(self, row: Row | None) -> bool:
        """Return whether a row is the registration of this incarnation."""
        return row is not None and _decode(row) == self.own_row

    async def follow(self) -> None:
        """Read the other registrations and the host list until stopped.

        Also removes the rows of dead entries.
        """
        while not self.should_stop:
            delay_s = SCAN_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await self._clock.sleep(delay_s)
            await self.scan()
            now_s = self._clock.monotonic_s()
            is_due = now_s - self._last_host_read_s >= HOST_LIST_INTERVAL_S
            if is_due or self._known_entries.has_silent(now_s):
                await self.read_hosts()
            await self._remove_dead_entries()

    async def scan(self) -> bool:
        """Read all registrations; return whether the read succeeded."""
        start_s = self._clock.monotonic_s()
        rows: list[Row] = []
        try:
            while True:
                after = rows[-1].key if rows else ''
                page = await self._tables.scan(
                    MEMBER_PREFIX, after=after, limit=SCAN_PAGE_SIZE
                )
                rows += page
                if len(page) < SCAN_PAGE_SIZE:
                    break
        except StoreError:
            return False
        entries = [entry for row in rows if (entry := _decode(row))]
        self._known_entries.record_scan(
            entries, start_s, self._clock.monotonic_s()
        )
        return True

    async def read_hosts(self) -> None:
        """Read the host list, unless it was read very recently.

        After a failure the previous list stays in use.
        """
        now_s = self._clock.monotonic_s()
        if self._host_list is None:
            return
        if now_s - self._last_host_read_s < MIN_HOST_LIST_INTERVAL_S:
            return
        self._last_host_read_s = now_s
        try:
            hosts = await self._host_list.hosts()
        except PlatformError:
            return
        self._known_entries.record_hosts(host.host_id for host in hosts)

    async def remove(self) -> None:
        """Remove this entry's row unless a new incarnation has replaced it."""
        for _ in range(MAX_REMOVE_ATTEMPTS):
            try:
                await self._remove_row(self.own_row)
            except StoreError as error:
                _logger.warning('registration_not_removed', error=str(error))
                await self._clock.sleep(
                    self._rng.uniform(0, MAX_RETRY_DELAY_S)
                )
            else:
                return

    async def _remove_dead_entries(self) -> None:
        for row in self._known_entries.dead_entries(self._clock.monotonic_s()):
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
        return decode_json(row.value, EntryRow)
    except MalformedDataError as error:
        _logger.error('malformed_entry_row', key=row.key, error=str(error))
        return None


def _new_operation_id() -> ids.OperationId:
    return ids.OperationId(f'member/{uuid.uuid4().hex}')
