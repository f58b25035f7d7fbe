"""Heartbeats of this process and the liveness of all others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.membership.announced_senders import AnnouncedSenders
from dogwoodpost.core.membership.host_weight import HostResources
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.membership.load_reports import LoadReports
from dogwoodpost.services.rows import decode_record
from dogwoodpost.services.rows import encode_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.routing import Router
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
TABLE = 'processes'
HEARTBEAT_INTERVAL_S = 0.8
RETRY_DELAY_S = 0.3
# Allows for one late heartbeat.
MAX_CONFIRMATION_AGE_S = 1.7
# Allows for two lost heartbeats.
HEARTBEAT_TIMEOUT_S = 2.6
MAX_READ_GAP_S = 2.2
_NO_ZONE = ids.AvailabilityZone('')
_NO_REGION = ids.Region('')
_DEFAULT_RESOURCES = HostResources(cores=1.0)


class PresenceService(mode.Service):
    """Writes this process's heartbeat row and observes those of all others.

    Reports the loads of other processes to the router. A table follower
    passes on the rows.

    :param address: address at which clients call this process.
    :param peer_address: address at which other processes call this process.
    :param resources: resources of this process's host.
    :param needed_services: returns the services to announce as a sender; see
        :class:`AnnouncedSenders`.
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
        region: ids.Region = _NO_REGION,
        resources: HostResources = _DEFAULT_RESOURCES,
        needed_services: Callable[
            [float], tuple[ids.ServiceName, ...]
        ] = lambda _now_s: (),
    ) -> None:
        super().__init__()
        self.availability_zone = availability_zone
        self.region = region
        self._address = address
        self._peer_address = peer_address
        self._resources = resources
        self._needed_services = needed_services
        self.view = PresenceTracker(HEARTBEAT_TIMEOUT_S, MAX_READ_GAP_S)
        self.senders = AnnouncedSenders(identity.process_id, self.view)
        self.is_leaving = False
        self._identity = identity
        self._store = store
        self._router = router
        self._clock = clock
        self._sequence = 0
        self._row_version = 0
        self._last_heartbeat_s: float | None = None
        self._contact_since_s: float | None = None
        self.load_reports = LoadReports(identity.process_id, self.view, router)
        # Set while this process exchanges loads with others directly.
        self.datagram_address = ''
        self.owns_items: Callable[[], bool] = lambda: False

    def leave(self) -> None:
        """Record the beginning of a planned stop."""
        self.is_leaving = True
        self.senders.stop()

    @property
    def is_confirmed(self) -> bool:
        """Return whether this process has written a heartbeat recently.

        While its own heartbeats fail, other processes' missing heartbeats
        don't show that they have failed: the store may be at fault.
        """
        if self._last_heartbeat_s is None:
            return False
        age_s = self._clock.monotonic_s() - self._last_heartbeat_s
        return age_s <= MAX_CONFIRMATION_AGE_S

    @property
    def has_started(self) -> bool:
        """Return whether this process has ever written a heartbeat."""
        return self._last_heartbeat_s is not None

    @property
    def heartbeat_sequence(self) -> int:
        """Return the number of the last heartbeat whose row was built."""
        return self._sequence

    def live_peers(self) -> dict[ids.ProcessId, PresenceRecord]:
        """Return the records of other live processes that aren't leaving."""
        live = self.view.live(self._clock.monotonic_s())
        live.pop(self._identity.process_id, None)
        return live

    def live_process_ids(
        self, allowed_regions: AllowedRegions
    ) -> list[ids.ProcessId]:
        """Return the live processes in allowed regions that aren't leaving."""
        live = self.view.live(self._clock.monotonic_s())
        return [
            process_id
            for process_id, record in live.items()
            if allowed_regions.permits(record.region)
        ]

    def least_memory_bytes(self, allowed_regions: AllowedRegions) -> int:
        """Return the memory of the smallest process in allowed regions.

        The process itself counts even if no heartbeat of it is known.
        """
        live = self.view.live(self._clock.monotonic_s()).values()
        resources = [self._resources] + [
            HostResources(cores=record.cores, memory_mb=record.memory_mb)
            for record in live
            if allowed_regions.permits(record.region)
        ]
        return min(one.memory_bytes for one in resources)

    def contact_since_s(self) -> float | None:
        """Return since when heartbeats have been written without a break.

        The time is monotonic, in seconds; None while heartbeats fail.
        """
        return self._contact_since_s if self.is_confirmed else None

    def total_loads(self) -> dict[ids.EndpointId, int]:
        """Return the requests in flight at all processes, by endpoint."""
        loads = self.view.loads_of_others(
            self._identity.process_id, self._clock.monotonic_s()
        )
        for endpoint_id, count in self._router.own_loads().items():
            loads[endpoint_id] = loads.get(endpoint_id, 0) + count
        return loads

    def owner_count(self) -> int:
        """Return the number of live processes that own batch items.

        This process counts in any case. Others count if their heartbeat says
        so or shows loads of engines.
        """
        return 1 + sum(
            record.owns_items or any(map(self._router.is_engine, record.loads))
            for record in self.live_peers().values()
        )

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply changed rows and report the loads."""
        for row in rows:
            self._apply_row(row, now_s)
        self.load_reports.report_rows(now_s)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply all rows of the table."""
        self.apply(rows, now_s)

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Record that all rows have been applied up to now.

        Ignored while this process's own heartbeats fail.
        """
        if self.is_confirmed:
            self.view.note_contact(now_s)

    async def write_heartbeat(self) -> None:
        """Write this process's row once.

        :raises StoreError: the row is not known to be written.
        """
        self._sequence += 1
        sent_s = self._clock.monotonic_s()
        services: tuple[ids.ServiceName, ...] = ()
        if not self.is_leaving:
            services = self._needed_services(sent_s)
        self.senders.begin_heartbeat(services)
        record = PresenceRecord(
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=self._router.own_loads(),
            leaving=self.is_leaving,
            address=self._address,
            peer_address=self._peer_address,
            availability_zone=self.availability_zone,
            cores=self._resources.cores,
            region=self.region,
            sender_services=services,
            datagram_address=self.datagram_address,
            owns_items=bool(self.datagram_address) and self.owns_items(),
            memory_mb=self._resources.memory_mb,
            descriptor_count=self._resources.descriptor_count,
            link_mbps=self._resources.link_mbps,
        )
        key = RowKey(TABLE, '', self._identity.process_id)
        write = RowWrite(key, encode_record(record))
        for _ in range(2):
            try:
                self._row_version = await self._store.commit(
                    [RowCheck(key, self._row_version)], [write]
                )
            except RowConflictError as error:
                # The row is by an earlier incarnation, or from a write whose
                # answer was lost.
                self._row_version = max(
                    (row.version for row in error.rows if row.value), default=0
                )
            else:
                self._record_heartbeat()
                self.senders.note_heartbeat(
                    services, sent_s, self._clock.monotonic_s()
                )
                return

    def _record_heartbeat(self) -> None:
        now_s = self._clock.monotonic_s()
        if not self.is_confirmed:
            self._contact_since_s = now_s
            _log.info('presence_confirmed', version=self._row_version)
        self._last_heartbeat_s = now_s

    @mode.Service.task
    async def _write_heartbeats(self) -> None:
        while not self.should_stop:
            try:
                await self.write_heartbeat()
            except StoreError as error:
                _log.info('heartbeat_not_written', error=str(error))
                await self._clock.sleep(RETRY_DELAY_S)
            else:
                await self._clock.sleep(HEARTBEAT_INTERVAL_S)

    def _apply_row(self, row: VersionedRow, now_s: float) -> None:
        process_id = ids.ProcessId(row.key.key)
        if row.value is None:
            self.view.forget(process_id)
            return
        record = decode_record(row, PresenceRecord)
        if record is not None:
            self.view.observe(process_id, record, row.version, now_s)
