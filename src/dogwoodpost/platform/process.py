"""Composition root of a process on the platform."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import structlog

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.rows import PartitionTableStore
from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings
from dogwoodpost.errors import SettingsError
from dogwoodpost.platform import configuration_rows
from dogwoodpost.platform import endpoint_rows
from dogwoodpost.platform import wire_names
from dogwoodpost.platform.endpoint_calls import HttpEndpointGateway
from dogwoodpost.platform.endpoint_calls import ORDER_TIMEOUT_S
from dogwoodpost.platform.ingress import Ingress
from dogwoodpost.platform.ingress import ready_app
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings import settings_path
from dogwoodpost.platform.store_client import PlatformObjectStore
from dogwoodpost.platform.store_client import PlatformRowStore
from dogwoodpost.platform.store_client import StoreConnection
from dogwoodpost.platform.usage_calls import HttpUsageReports
from dogwoodpost.ports.endpoint_gateway import SwitchMode
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.batches.batch_context import BatchContext
from dogwoodpost.services.batches.batch_service import BatchService
from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
from dogwoodpost.services.batches.item_scorer import ItemScorer
from dogwoodpost.services.batches.job_store import JobStore
from dogwoodpost.services.batches.text_archive import TextArchive
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.control import endpoint_versions
from dogwoodpost.services.control.endpoint_versions import EndpointVersions
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.services.control.named_versions import NamedVersions
from dogwoodpost.services.control.shard_runner import ShardRunner
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.control.weight_director import WeightDirector
from dogwoodpost.services.entry.direct_attempt_runner import (
    DirectAttemptRunner,
)
from dogwoodpost.services.entry.http.lifecycle import Lifecycle
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from dogwoodpost.services.entry.route_finder import RouteFinder
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.membership import presence_service
from dogwoodpost.services.membership.presence_service import PresenceService
from dogwoodpost.services.process import running
from dogwoodpost.services.process import wait_for_stop_signal
from dogwoodpost.services.rows import TableFollower

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.observability import LogBuffer
    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.settings import ProcessSettings
    from dogwoodpost.services.control.lease_manager import ManagedLeaseGuard
    from dogwoodpost.services.control.shard_runner import RunOnce
    from dogwoodpost.services.rows import RowSink

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000
_MIB = 1024 * 1024
_CONTROL_TABLE = 'control'
_USAGE_SHARD = ids.ShardName('usage')
_WEIGHTS_SHARD = ids.ShardName('weights')
_WEIGHTS_INTERVAL_S = 0.1
_USAGE_INTERVAL_S = 0.5
_USAGE_WRITE_INTERVAL_S = 0.7
# A write of each process with its jitter, and one call that times out.
_USAGE_GRACE_S = 2.5
# A lease lasts a little longer than the deployment asks for.
_LEASE_FACTOR = 1.1
_OPERATOR_PAUSE_S = 0.15
_ENDPOINT_PAUSE_S = 0.2
_HEAD_PAUSE_S = 0.05
_VERSION_PAUSE_S = 0.1
_PRESENCE_PAUSE_S = 0.25
_LOG_FLUSH_S = 0.1
# Endpoints end idle connections earlier or later; a request that finds its
# connection ended is repeated.
_POOL_KEEPALIVE_S = 12.0
_BODY_MEMORY_SHARE = 0.2
_SHUTDOWN_TIMEOUT_S = 0.5
# The balancer notices after two checks, a second apart; until then new
# connections arrive and are served.
_LEAVE_S = 2.6
# What is left of the grace period when the process gives up its work.
_EXIT_MARGIN_S = 1.8
_IDLE_POLL_S = 0.05


class PlatformProcess(CompositeService):
    """One process on a host that clients reach."""

    def __init__(
        self,
        settings: ProcessSettings,
        identity: ProcessIdentity,
        metrics: Metrics,
        log_buffer: LogBuffer,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._identity = identity
        self._metrics = metrics
        self._log_buffer = log_buffer
        self._clock = BoottimeClock()
        self._rng = random.Random()
        self._lifecycle = Lifecycle()
        self._is_leaving = False
        self._named = NamedVersions()
        self._operator = configuration_rows.OperatorRows(
            self._named, self._clock, max_age_s=_max_age_s(settings)
        )
        self._router = Router(
            ids.AvailabilityZone(settings.zone),
            ids.Region(settings.region),
            self._rng,
            RouterSettings(room_share=1.0, behind_room_share=1.0),
        )
        self._registry = EndpointRegistry(self._router)

    async def run(self) -> int:
        """Run until a stop signal; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with running(self):
            stop = asyncio.create_task(wait_for_stop_signal())
            crash = asyncio.create_task(self.wait_until_stopped())
            await asyncio.wait(
                {stop, crash}, return_when=asyncio.FIRST_COMPLETED
            )
            if self.crash_reason is not None:
                _log.error('process_crashed', reason=repr(self.crash_reason))
                return 1
            await self._leave()
        _log.info('process_stopped')
        return 0

    async def open_parts(self) -> None:
        """Open the parts, those that serve clients last."""
        self.add_future(self._flush_logs())
        _log.info(
            'process_started',
            availability_zone=self._settings.zone,
            region=self._settings.region,
            store=self._settings.platform.address,
        )
        session = await self.open_part(_session(reuse=True))
        fresh_session = await self.open_part(_session(reuse=False))
        self._store = StoreConnection(
            self._settings.platform.address, session, self._metrics
        )
        rows = PlatformRowStore(self._store)
        gateway = HttpEndpointGateway(
            session, fresh_session, self._identity.process_id
        )
        self._presence = PresenceService(
            self._identity, rows, self._router, self._clock
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
            bills_begun_requests=True,
        )
        routes = RouteFinder(self._operator)
        self._batches = self._compose_batches(rows, gateway, pipeline, routes)
        versions = EndpointVersions(self._registry, rows)
        await self._follow_tables(rows, versions)
        await self.run_part(self._presence)
        await self.run_part(usage)
        await self.run_part(self._batches)
        await self._open_duties(tables, gateway, versions, session)
        self._ingress = Ingress(
            pipeline=pipeline,
            batches=self._batches,
            configuration=self._operator,
            routes=routes,
            lifecycle=self._lifecycle,
            metrics=self._metrics,
            max_body_memory_bytes=int(
                self._settings.limits.memory_mb * _MIB * _BODY_MEMORY_SHARE
            ),
        )
        await self._open_addresses()

    @property
    def running_item_count(self) -> int:
        """Return how many batch items run here."""
        return self._batches.running_count

    def is_ready(self) -> bool:
        """Return whether the balancer may send clients here."""
        known = self._operator.is_known and self._presence.has_started
        return known and not self._is_leaving

    def _compose_batches(
        self,
        rows: PlatformRowStore,
        gateway: HttpEndpointGateway,
        pipeline: RequestPipeline,
        routes: RouteFinder,
    ) -> BatchService:
        pace = EndpointEventPace()
        dispatcher = ItemDispatcher(
            self._router, ItemPlacement(pace), self._clock
        )
        context = BatchContext(
            identity=self._identity,
            store=JobStore(
                rows,
                PlatformObjectStore(self._store),
                self._clock,
                self._rng,
            ),
            archive=TextArchive(rows),
            gateway=gateway,
            dispatcher=dispatcher,
            pace=pace,
            endpoints=self._registry,
            routes=routes,
            scorer=ItemScorer(
                pipeline, routes, self._clock, wire_names.SIGNATURE
            ),
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
        )
        return BatchService(
            context,
            self._presence,
            retention_s=self._settings.bounds.status_s,
        )

    async def _follow_tables(
        self, rows: PlatformRowStore, versions: EndpointVersions
    ) -> None:
        sinks: list[tuple[str, RowSink, float]] = [
            (configuration_rows.TABLE, self._operator, _OPERATOR_PAUSE_S),
            (
                endpoint_rows.TABLE,
                endpoint_rows.EndpointRows(
                    self._registry, self._settings.zones
                ),
                _ENDPOINT_PAUSE_S,
            ),
            (presence_service.TABLE, self._presence, _PRESENCE_PAUSE_S),
            (endpoint_versions.TABLE, versions, _VERSION_PAUSE_S),
            (job_rows.HEAD_TABLE, self._batches.directory, _HEAD_PAUSE_S),
        ]
        for table, sink, pause_s in sinks:
            follower = TableFollower(
                rows,
                table,
                sink,
                self._clock,
                self._metrics,
                pause_s=pause_s,
                partitioned=table == job_rows.HEAD_TABLE,
            )
            await self.run_part(follower)

    async def _open_duties(
        self,
        tables: PartitionTableStore,
        gateway: HttpEndpointGateway,
        versions: EndpointVersions,
        session: aiohttp.ClientSession,
    ) -> None:
        terms = LeaseTerms(
            duration_s=self._settings.bounds.lease_ms
            / _MS_PER_S
            * _LEASE_FACTOR,
            longest_call_s=ORDER_TIMEOUT_S,
        )
        self._leases = LeaseManager(
            tables,
            self._clock,
            self._rng,
            process_id=self._identity.process_id,
            incarnation=self._identity.incarnation,
            terms=terms,
            # Two incarnations on one host count as one holder, which must
            # not act again so soon after another host has acted.
            first_take_delay_s=terms.duration_s,
        )
        await self.open_part(self._running_leases())
        weights = self._leases.guard(_WEIGHTS_SHARD)

        @asynccontextmanager
        async def weight_work() -> AsyncIterator[RunOnce]:
            director = WeightDirector(
                guard=weights,
                gateway=gateway,
                registry=self._registry,
                versions=versions,
                named=self._named,
                switch_mode=self._switch_mode,
                clock=self._clock,
                metrics=self._metrics,
            )
            try:
                yield director.run_once
            finally:
                await director.close()

        await self.run_part(
            ShardRunner(
                weights,
                weight_work,
                self._clock,
                interval_s=_WEIGHTS_INTERVAL_S,
            )
        )
        if 'usage' in self._settings.cloud.duties:
            await self._open_usage_duty(tables, session)

    async def _open_usage_duty(
        self, tables: PartitionTableStore, session: aiohttp.ClientSession
    ) -> None:
        guard = self._leases.guard(_USAGE_SHARD)

        @asynccontextmanager
        async def usage_work() -> AsyncIterator[RunOnce]:
            reporter = UsageReporter(
                guard=guard,
                store=tables,
                platform=self._usage_reports(session, guard),
                clock=self._clock,
                rng=self._rng,
                metrics=self._metrics,
                window_s=int(self._settings.bounds.report_window_s),
                grace_s=_USAGE_GRACE_S,
                contact_since_s=self._presence.contact_since_s,
            )
            yield reporter.run_once

        await self.run_part(
            ShardRunner(
                guard,
                usage_work,
                self._clock,
                interval_s=_USAGE_INTERVAL_S,
            )
        )

    def _usage_reports(
        self, session: aiohttp.ClientSession, guard: ManagedLeaseGuard
    ) -> HttpUsageReports:
        return HttpUsageReports(
            self._settings.cloud.address,
            session,
            self._identity.process_id,
            guard.fencing_number,
        )

    @asynccontextmanager
    async def _running_leases(self) -> AsyncIterator[None]:
        """Keep leases; a planned stop has released them before the end."""
        await self._leases.start()
        try:
            yield
        finally:
            if not self._is_leaving:
                await self._leases.stop()

    def _switch_mode(self) -> SwitchMode:
        """Return how running requests go through a change of weights.

        Results of one version only would be lost if a run went on under the
        next one.
        """
        routes = self._operator.current().routes.values()
        if any(route.single_version for route in routes):
            return SwitchMode.FINISH_FIRST
        return SwitchMode.CONTINUE

    async def _open_addresses(self) -> None:
        listen = self._settings.listen
        health = ready_app(self.is_ready, self._metrics.render)
        for name in ('ready', 'metrics'):
            address = listen.get(name)
            if address is not None:
                await self.open_part(
                    serving(
                        health,
                        _Address(address),
                        shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S,
                    )
                )
        if 'front' in listen:
            await self.open_part(
                serving(
                    self._ingress.app(),
                    _Address(listen['front']),
                    shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S,
                )
            )

    async def _leave(self) -> None:
        """Serve on until the balancer has noticed, then end the work."""
        _log.info(
            'process_leaving',
            running_items=self._batches.running_count,
            grace_s=self._settings.bounds.grace_s,
        )
        self._is_leaving = True
        self._presence.is_leaving = True
        self._ingress.closes_connections = True
        release = asyncio.create_task(self._leases.stop())
        start_s = self._clock.monotonic_s()
        end_s = start_s + self._settings.bounds.grace_s - _EXIT_MARGIN_S
        while self._batches.running_count:
            if self._clock.monotonic_s() > end_s:
                break
            await self._clock.sleep(_IDLE_POLL_S)
        await self._batches.hand_over()
        left_s = start_s + _LEAVE_S - self._clock.monotonic_s()
        await self._clock.sleep(max(left_s, 0.0))
        await release
        left_s = end_s - self._clock.monotonic_s()
        if not await self._lifecycle.wait_idle(max(left_s, 0.1)):
            _log.warning('requests_cut_by_stop')

    def _reload(self) -> None:
        """Take changed addresses from the settings file."""
        try:
            settings = load_settings(settings_path())
        except SettingsError as error:
            _log.error('settings_not_reloaded', error=str(error))
            return
        self._settings = settings
        self._store.address = settings.platform.address
        _log.info('settings_reloaded', store=settings.platform.address)

    async def _flush_logs(self) -> None:
        while True:
            self._log_buffer.flush()
            await asyncio.sleep(_LOG_FLUSH_S)


class _Address:
    """Host and port of a listening socket."""

    def __init__(self, address: str) -> None:
        self.ip, _, port = address.rpartition(':')
        self.port = int(port)


@asynccontextmanager
async def _session(*, reuse: bool) -> AsyncIterator[aiohttp.ClientSession]:
    connector = (
        aiohttp.TCPConnector(limit=0, keepalive_timeout=_POOL_KEEPALIVE_S)
        if reuse
        else aiohttp.TCPConnector(limit=0, force_close=True)
    )
    async with aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        yield session


def _max_age_s(settings: ProcessSettings) -> float | None:
    """Return how old the configuration may be for keyed routes."""
    if not settings.bounds.strict_revoke:
        return None
    return settings.bounds.revoke_ms / _MS_PER_S / 2
