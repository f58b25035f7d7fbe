"""Heartbeats of this process and the view of all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker
from dogwoodpost.core.messages import EndpointLoad
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.rows import decode_record
from dogwoodpost.services.rows import encode_record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.routing import Router
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
TABLE = 'processes'
HEARTBEAT_S = 0.8
RETRY_S = 0.3
# A heartbeat and one that is late.
CONFIRMATION_AGE_S = 1.7
# Two heartbeats may be lost.
HEARTBEAT_TIMEOUT_S = 2.6
MAX_GAP_S = 2.2
_NO_ZONE = ids.AvailabilityZone('')


class PresenceService(mode.Service):
    """Writes this process's row and takes the rows of all.

    Other processes' loads go to the router.

    :param address: where clients call this process.
    :param peer_address: where other processes call it.
    :param cores: processor capacity of this process, in cores.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        store: RowStore,
        router: Router,
        clock: Clock,
        *,
        address: str = '',
        peer_address: str = '',
        availability_zone: ids.AvailabilityZone = _NO_ZONE,
        cores: float = 1.0,
    ) -> None:
        super().__init__()
        self.availability_zone = availability_zone
        self._address = address
        self._peer_address = peer_address
        self._cores = cores
        self.view = PresenceTracker(HEARTBEAT_TIMEOUT_S, MAX_GAP_S)
        self.is_leaving = False
        self._identity = identity
        self._store = store
        self._router = router
        self._clock = clock
        self._sequence = 0
        self._version = 0
        self._confirmed_s: float | None = None
        self._contact_since_s: float | None = None
        self._reported: frozenset[ids.EndpointId] = frozenset()

    @property
    def is_confirmed(self) -> bool:
        """Return whether the others can know that this process is alive.

        While its own heartbeats fail, the store is as likely at fault as
        the processes whose heartbeats are missing.
        """
        if self._confirmed_s is None:
            return False
        age_s = self._clock.monotonic_s() - self._confirmed_s
        return age_s <= CONFIRMATION_AGE_S

    @property
    def has_started(self) -> bool:
        """Return whether the others have ever known of this process."""
        return self._confirmed_s is not None

    def live_peers(self) -> dict[ids.ProcessId, PresenceRecord]:
        """Return what the other live processes say of themselves."""
        live = self.view.live(self._clock.monotonic_s())
        live.pop(self._identity.process_id, None)
        return live

    def contact_since_s(self) -> float | None:
        """Return since when heartbeats have been written, None if not now."""
        return self._contact_since_s if self.is_confirmed else None

    def total_loads(self) -> dict[ids.EndpointId, int]:
        """Return the requests in flight of all processes, by endpoint."""
        loads = self.view.loads_of_others(
            self._identity.process_id, self._clock.monotonic_s()
        )
        for endpoint_id, count in self._router.own_loads().items():
            loads[endpoint_id] = loads.get(endpoint_id, 0) + count
        return loads

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Take changed rows."""
        for row in rows:
            self._take(row, now_s)
        self._report_loads(now_s)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Take all rows."""
        self.apply(rows, now_s)

    def note_contact(self, now_s: float) -> None:
        """Note that all rows are known as of now."""
        if self.is_confirmed:
            self.view.note_contact(now_s)

    async def write_heartbeat(self) -> None:
        """Write this process's row once.

        :raises StoreError: it is not known to be written.
        """
        self._sequence += 1
        record = PresenceRecord(
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=self._router.own_loads(),
            leaving=self.is_leaving,
            address=self._address,
            peer_address=self._peer_address,
            availability_zone=self.availability_zone,
            cores=self._cores,
        )
        key = RowKey(TABLE, '', self._identity.process_id)
        write = RowWrite(key, encode_record(record))
        for _ in range(2):
            try:
                self._version = await self._store.commit(
                    [RowCheck(key, self._version)], [write]
                )
            except RowConflictError as error:
                # An earlier incarnation, or a write whose answer was lost.
                self._version = max(
                    (row.version for row in error.rows if row.value), default=0
                )
            else:
                self._confirm()
                return

    def _confirm(self) -> None:
        now_s = self._clock.monotonic_s()
        if not self.is_confirmed:
            self._contact_since_s = now_s
            _log.info('presence_confirmed', version=self._version)
        self._confirmed_s = now_s

    @mode.Service.task
    async def _beat(self) -> None:
        while not self.should_stop:
            try:
                await self.write_heartbeat()
            except StoreError as error:
                _log.info('heartbeat_not_written', error=str(error))
                await self._clock.sleep(RETRY_S)
            else:
                await self._clock.sleep(HEARTBEAT_S)

    def _take(self, row: VersionedRow, now_s: float) -> None:
        process_id = ids.ProcessId(row.key.key)
        if row.value is None:
            self.view.forget(process_id)
            return
        record = decode_record(row, PresenceRecord)
        if record is not None:
            self.view.observe(process_id, record, row.version, now_s)

    def _report_loads(self, now_s: float) -> None:
        """Tell the router how many requests the others have in flight.

        Only of engines: requests to plain services end sooner than the next
        heartbeat, so that the last one would hold up others for nothing.
        """
        others = self.view.loads_of_others(self._identity.process_id, now_s)
        own = self._router.own_loads()
        for endpoint_id in self._reported | others.keys():
            endpoint = self._router.endpoint(endpoint_id)
            if endpoint is None or not endpoint.weight_versions:
                continue
            count = others.get(endpoint_id, 0) + own.get(endpoint_id, 0)
            load = EndpointLoad(
                endpoint_id=endpoint_id, running_count=count, waiting_count=0
            )
            self._router.report_load(load, now_s)
        self._reported = frozenset(others)
