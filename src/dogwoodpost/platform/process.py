"""Composition root of a process on the platform."""

from __future__ import annotations

import asyncio
import random
import signal
from functools import partial
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.rows import PartitionTableStore
from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.membership.peer_states import PeerStates
from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.stop_schedule import StopSchedule
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.platform import configuration_rows
from dogwoodpost.platform import endpoint_rows
from dogwoodpost.platform import followed_tables
from dogwoodpost.platform.batch_parts import build_batch_context
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.duties import Duties
from dogwoodpost.platform.endpoint_calls import HttpEndpointGateway
from dogwoodpost.platform.endpoint_state import EndpointState
from dogwoodpost.platform.ingress import Ingress
from dogwoodpost.platform.job_forwarding import HttpJobForwardingClient
from dogwoodpost.platform.leave_notices import LeaveNotices
from dogwoodpost.platform.membership_parts import compose_load_exchange
from dogwoodpost.platform.membership_parts import compose_presence
from dogwoodpost.platform.planned_stop import PlannedStop
from dogwoodpost.platform.policy_settings import apply_policy
from dogwoodpost.platform.process_addresses import ProcessAddresses
from dogwoodpost.platform.sessions import guarded_session
from dogwoodpost.platform.sessions import http_session
from dogwoodpost.platform.settings_watch import SettingsWatch
from dogwoodpost.platform.store_client import PlatformObjectStore
from dogwoodpost.platform.store_client import PlatformRowStore
from dogwoodpost.platform.store_connection import StoreConnection
from dogwoodpost.platform.store_relay import StoreRelay
from dogwoodpost.platform.table_feeds import TableFeeds
from dogwoodpost.services.batches.batch_service import BatchService
from dogwoodpost.services.batches.job_forwarder import JobForwarder
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.control.announced_versions import AnnouncedVersions
from dogwoodpost.services.control.endpoint_versions import EndpointVersions
from dogwoodpost.services.entry.direct_attempt_runner import (
    DirectAttemptRunner,
)
from dogwoodpost.services.entry.http.lifecycle import Lifecycle
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from dogwoodpost.services.entry.route_finder import RouteFinder
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.services.process import wait_for_stop_signal

if TYPE_CHECKING:
    import aiohttp

    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.observability import LogBuffer
    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.settings import ProcessSettings
    from dogwoodpost.services.http_server import Listener

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000
_CONTROL_TABLE = 'control'
_USAGE_WRITE_INTERVAL_S = 0.7
_TICK_INTERVAL_S = 0.1
_SETTINGS_CHECK_INTERVAL_S = 1.0
# Share of the process's memory for its work: bodies of requests, batch jobs
# and caches. The rest is for the program itself, connections, the buffers of
# calls and fragmentation.
_WORK_MEMORY_SHARE = 0.45
# Share of the process's memory that request bodies may use of that.
_BODY_MEMORY_SHARE = 0.2
# Clients that a stop refuses may turn to another process at once.
_STOP_RETRY_AFTER_S = 0.05
# Time to stop the parts after a crash or during the start.
_CRASH_STOP_S = 2.0


class PlatformProcess(CompositeService):
    """A process that serves clients on the platform and does its duties."""

    def __init__(
        self,
        settings: ProcessSettings,
        identity: ProcessIdentity,
        metrics: Metrics,
        log_buffer: LogBuffer,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._settings_watch = SettingsWatch(settings)
        self._policy = PolicyHolder()
        apply_policy(self._policy, settings)
        self._identity = identity
        self._metrics = metrics
        self._log_buffer = log_buffer
        self._clock = BoottimeClock()
        self._rng = random.Random()
        self._memory = MemoryBudget(
            int(settings.limits.memory_bytes * _WORK_MEMORY_SHARE)
        )
        self._lifecycle = Lifecycle(_STOP_RETRY_AFTER_S)
        self._front_listener: Listener | None = None
        self._is_leaving = False
        self._announced_versions = AnnouncedVersions(self._clock)
        endpoints = EndpointState(
            ids.AvailabilityZone(settings.zone),
            ids.Region(settings.region),
            self._rng,
            metrics,
            lambda: self._configuration.current(),
        )
        self._endpoints = endpoints
        self._router = endpoints.router
        self._registry = endpoints.registry
        self._cold_tracker = endpoints.cold_tracker
        self._configuration = configuration_rows.ConfigurationRows(
            self._announced_versions,
            self._clock,
            settings.zones,
            endpoints.set_evacuated_zones,
            max_age_s=_max_age_s(settings),
        )
        self._loading_endpoints = LoadingEndpoints()
        self._peer_states = PeerStates()

    async def run(self) -> int:
        """Run until a stop signal or a crash; return the exit code."""
        stop_signal = asyncio.create_task(wait_for_stop_signal())
        # Lets the task install its handlers before the start begins.
        await asyncio.sleep(0)
        if not await self._start_unless_stopped(stop_signal):
            _log.info('process_stopped', while_starting=True)
            return 0
        stop_end_s: float | None = None
        try:
            # The parts that changed settings are passed to now exist.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGHUP, partial(self._reload_settings, force=True)
            )
            crash = asyncio.create_task(self.wait_until_stopped())
            await asyncio.wait(
                {stop_signal, crash}, return_when=asyncio.FIRST_COMPLETED
            )
            if self.crash_reason is not None:
                _log.error('process_crashed', reason=repr(self.crash_reason))
                return 1
            schedule = StopSchedule(
                start_s=self._clock.monotonic_s(),
                grace_s=self._settings.bounds.grace_s,
            )
            stop_end_s = schedule.exit_s
            await self._drain(schedule)
        finally:
            await self._stop_parts(stop_end_s)
        _log.info('process_stopped')
        return 0

    async def _start_unless_stopped(
        self, stop_signal: asyncio.Task[None]
    ) -> bool:
        """Start the parts; return False if a stop signal comes first."""
        start = asyncio.create_task(self.start())
        await asyncio.wait(
            {start, stop_signal}, return_when=asyncio.FIRST_COMPLETED
        )
        if not start.done():
            start.cancel()
            # Parts that are open already are closed; see _stop_parts.
            await asyncio.wait({start}, timeout=_CRASH_STOP_S)
            return False
        await start
        return True

    async def _stop_parts(self, end_s: float | None) -> None:
        """Stop all parts.

        A part that writes to the store would wait while the store is away.

        :param end_s: when to leave the rest to the end of the process, on the
            process's clock; None after a crash.
        """
        left_s = _CRASH_STOP_S
        if end_s is not None:
            left_s = max(end_s - self._clock.monotonic_s(), 0.0)
        try:
            async with asyncio.timeout(left_s):
                await self.stop()
        except TimeoutError:
            _log.warning('stop_cut_short')

    async def open_parts(self) -> None:
        """Open the parts; the addresses that clients call come last."""
        self.add_future(self._run_ticks())
        _log.info(
            'process_started',
            availability_zone=self._settings.zone,
            region=self._settings.region,
            store=self._settings.platform.address,
        )
        counts = ConnectionCounts(self._metrics)
        session = await self.open_part(http_session(counts, reuse=True))
        fresh_session = await self.open_part(http_session(counts, reuse=False))
        under_lease = await self.open_part(guarded_session(counts))
        self._store = StoreConnection(
            self._settings.platform.address, session, self._metrics
        )
        rows = PlatformRowStore(self._store)
        gateway = HttpEndpointGateway(
            session,
            fresh_session,
            under_lease,
            self._identity.process_id,
            LeaveNotices(self._registry, self._clock),
        )
        self._presence = compose_presence(
            self._settings, self._identity, rows, self._endpoints, self._clock
        )
        self._store.relay = StoreRelay(self._presence, session, self._metrics)
        forwarder = JobForwarder(
            self._identity,
            self._presence,
            HttpJobForwardingClient(fresh_session, self._settings.node),
            self._clock,
            self._metrics,
            self._policy,
        )
        tables = PartitionTableStore(rows, _CONTROL_TABLE)
        usage = UsageTotals(
            host_id=ids.HostId(self._settings.node),
            incarnation=self._identity.incarnation,
            window_s=int(self._settings.bounds.report_window_s),
            store=tables,
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
            write_interval_s=_USAGE_WRITE_INTERVAL_S,
        )
        pipeline = RequestPipeline(
            runner=DirectAttemptRunner(gateway),
            router=self._router,
            admission=Admission(),
            usage=usage,
            metrics=self._metrics,
            clock=self._clock,
            rng=self._rng,
            current_configuration=self._configuration.current,
            bills_begun_requests=True,
            policy=self._policy,
            stop_left_s=self._lifecycle.left_s,
            loading_endpoints=self._loading_endpoints,
        )
        routes = RouteFinder(self._configuration)
        self._batches = self._compose_batches(
            rows, gateway, pipeline, routes, forwarder
        )
        versions = EndpointVersions(
            self._registry, rows, self._loading_endpoints
        )
        await self._follow_tables(rows, versions)
        await self.run_part(self._presence)
        await self.run_part(usage)
        await self.run_part(self._batches)
        await self.run_part(
            compose_load_exchange(
                self._settings,
                self._identity,
                self._peer_states,
                self._presence,
                pipeline,
                self._batches,
            )
        )
        self._duties = await self.run_part(
            self._compose_duties(tables, gateway, versions, under_lease)
        )
        self._ingress = Ingress(
            pipeline=pipeline,
            batches=self._batches,
            configuration=self._configuration,
            routes=routes,
            lifecycle=self._lifecycle,
            metrics=self._metrics,
            body_memory=self._memory.part(
                int(self._settings.limits.memory_bytes * _BODY_MEMORY_SHARE)
            ),
        )
        await self._open_addresses()
        self.add_future(self._watch_settings())

    @property
    def running_item_count(self) -> int:
        """Return the number of batch items that run in this process."""
        return self._batches.running_count

    def is_ready(self) -> bool:
        """Return whether the load balancer may send clients here."""
        has_started = (
            self._configuration.is_loaded and self._presence.has_started
        )
        listens = (
            self._front_listener is not None
            or 'front' not in self._settings.listen
        )
        return has_started and listens and not self._is_leaving

    def _compose_batches(
        self,
        rows: PlatformRowStore,
        gateway: HttpEndpointGateway,
        pipeline: RequestPipeline,
        routes: RouteFinder,
        forwarder: JobForwarder,
    ) -> BatchService:
        context = build_batch_context(
            identity=self._identity,
            rows=rows,
            objects=PlatformObjectStore(self._store),
            gateway=gateway,
            pipeline=pipeline,
            routes=routes,
            configuration=self._configuration,
            registry=self._registry,
            loading_endpoints=self._loading_endpoints,
            rng=self._rng,
            owner_count=self._presence.owner_count,
            peer_demands=self._peer_states.demands,
            memory=self._memory,
        )
        return BatchService(
            context,
            self._presence,
            forwarder,
            retention_s=self._settings.bounds.status_s,
            settle_s=self._settings.bounds.settle_ms / _MS_PER_S,
        )

    async def _follow_tables(
        self, rows: PlatformRowStore, versions: EndpointVersions
    ) -> None:
        feeds = TableFeeds(
            rows,
            self._clock,
            self._metrics,
            reads_per_s=self._settings.platform.reads_per_s,
            process_count=lambda: len(
                self._presence.view.live_process_ids(self._clock.monotonic_s())
            ),
        )
        followed_tables.add_followed_tables(
            feeds,
            configuration=self._configuration,
            endpoints=endpoint_rows.EndpointRows(
                self._registry, self._cold_tracker, self._settings.zones
            ),
            presence=self._presence,
            versions=versions,
            jobs=self._batches.directory,
        )
        for follower in feeds.followers():
            await self.run_part(follower)

    def _compose_duties(
        self,
        tables: PartitionTableStore,
        gateway: HttpEndpointGateway,
        versions: EndpointVersions,
        session: aiohttp.ClientSession,
    ) -> Duties:
        return Duties(
            settings=self._settings,
            identity=self._identity,
            tables=tables,
            session=session,
            gateway=gateway,
            registry=self._registry,
            versions=versions,
            announced_versions=self._announced_versions,
            configuration=self._configuration,
            presence=self._presence,
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
        )

    async def _open_addresses(self) -> None:
        addresses = ProcessAddresses(
            self._settings, self.is_ready, self._metrics.render, self._store
        )
        for address in addresses.internal():
            await self.open_part(address)
        front = addresses.front(self._ingress)
        if front is not None:
            self._front_listener = await self.open_part(front)

    async def _drain(self, schedule: StopSchedule) -> None:
        """Stop gracefully; see ``PlannedStop``."""
        self._is_leaving = True
        await PlannedStop(
            schedule,
            self._clock,
            presence=self._presence,
            ingress=self._ingress,
            lifecycle=self._lifecycle,
            batches=self._batches,
            duties=self._duties,
            front_listener=self._front_listener,
        ).run()

    async def _watch_settings(self) -> None:
        """Check the settings file for changes made without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_INTERVAL_S)
            self._reload_settings()

    def _reload_settings(self, *, force: bool = False) -> None:
        """Apply changed addresses and policy from the settings file.

        :param force: read the file even if its modification time is the same.
        """
        settings = self._settings_watch.check(force=force)
        if settings is None:
            return
        self._settings = settings
        self._store.address = settings.platform.address
        self._duties.settings = settings
        apply_policy(self._policy, settings)

    async def _run_ticks(self) -> None:
        while True:
            self._cold_tracker.tick(self._clock.monotonic_s())
            self._log_buffer.flush()
            await asyncio.sleep(_TICK_INTERVAL_S)


def _max_age_s(settings: ProcessSettings) -> float | None:
    """Return how old the configuration may be for routes that need a key.

    It is half of the time within which a revoked key must stop working, or
    None if that time is not enforced by refusing requests.
    """
    if not settings.bounds.strict_revoke:
        return None
    return settings.bounds.revoke_ms / _MS_PER_S / 2
