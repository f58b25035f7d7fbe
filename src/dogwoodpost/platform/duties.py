"""Singleton duties: work that one process does at a time, under a lease."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.platform.duty_calls import DutyConnection
from dogwoodpost.platform.guarded_calls import GUARDED_CALL_TIMEOUT_S
from dogwoodpost.platform.scale_calls import HttpZoneOrders
from dogwoodpost.platform.usage_calls import HttpUsageReports
from dogwoodpost.ports.endpoint_gateway import SwitchMode
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.services.control.shard_runner import ShardRunner
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.control.weight_load_controller import (
    WeightLoadController,
)
from dogwoodpost.services.control.zone_count_autoscaler import (
    ZoneCountAutoscaler,
)

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    import aiohttp

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.settings import ProcessSettings
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.control.announced_versions import (
        AnnouncedVersions,
    )
    from dogwoodpost.services.control.endpoint_versions import EndpointVersions
    from dogwoodpost.services.control.lease_manager import ManagedLeaseGuard
    from dogwoodpost.services.control.shard_runner import RunOnce
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

    OpenWork = Callable[
        [ManagedLeaseGuard], AbstractAsyncContextManager[RunOnce]
    ]

_MS_PER_S = 1_000
_USAGE_SHARD = ids.ShardName('usage')
_WEIGHTS_SHARD = ids.ShardName('weights')
_SCALING_SHARD = ids.ShardName('scaling')
# Names of duties in the settings; a process runs those that are listed.
_USAGE_DUTY_NAME = 'usage'
_SCALING_DUTY_NAME = 'autoscale'
_WEIGHTS_INTERVAL_S = 0.1
_USAGE_INTERVAL_S = 0.5
_SCALING_INTERVAL_S = 1.0
# Covers the interval at which each process writes its usage, with jitter, and
# one store call that times out.
_USAGE_GRACE_S = 2.5
# Leases last this much longer than the settings ask for.
_LEASE_DURATION_FACTOR = 1.1


class Duties(CompositeService):
    """Competes for the lease of each duty and does its work while it is held.

    :param settings: settings of the process. The attribute of this name may be
        replaced while the duties run: calls then go to its duty API address.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        identity: ProcessIdentity,
        tables: TableStore,
        session: aiohttp.ClientSession,
        gateway: EndpointGateway,
        registry: EndpointRegistry,
        versions: EndpointVersions,
        announced_versions: AnnouncedVersions,
        configuration: ConfigurationSource,
        presence: PresenceService,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.settings = settings
        self._identity = identity
        self._tables = tables
        self._session = session
        self._gateway = gateway
        self._registry = registry
        self._versions = versions
        self._announced_versions = announced_versions
        self._configuration = configuration
        self._presence = presence
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._is_released = False
        terms = LeaseTerms(
            duration_s=settings.bounds.lease_ms
            / _MS_PER_S
            * _LEASE_DURATION_FACTOR,
            longest_call_s=GUARDED_CALL_TIMEOUT_S,
        )
        self._leases = LeaseManager(
            tables,
            clock,
            rng,
            process_id=identity.process_id,
            incarnation=identity.incarnation,
            terms=terms,
            # Two incarnations on one host count as one holder, and a holder
            # must not act again so soon after another host has acted.
            initial_takeover_delay_s=terms.duration_s,
        )

    async def open_parts(self) -> None:
        """Start the lease manager, then the work of each duty."""
        await self.open_part(self._running_leases())
        await self._run_shard(
            _WEIGHTS_SHARD, self._open_weight_work, _WEIGHTS_INTERVAL_S
        )
        duties = self.settings.cloud.duties
        if _USAGE_DUTY_NAME in duties:
            await self._run_shard(
                _USAGE_SHARD, self._open_usage_work, _USAGE_INTERVAL_S
            )
        if _SCALING_DUTY_NAME in duties:
            self.add_future(self._run_scaling())

    async def release(self) -> None:
        """Release all leases, so that other processes take over at once."""
        self._is_released = True
        await self._leases.stop()

    @asynccontextmanager
    async def _running_leases(self) -> AsyncIterator[None]:
        await self._leases.start()
        try:
            yield
        finally:
            if not self._is_released:
                await self._leases.stop()

    async def _run_shard(
        self, shard: ids.ShardName, open_work: OpenWork, interval_s: float
    ) -> None:
        guard = self._leases.guard(shard)
        await self.run_part(
            ShardRunner(
                guard,
                lambda: open_work(guard),
                self._clock,
                interval_s=interval_s,
            )
        )

    async def _run_scaling(self) -> None:
        """Compete for the scaling lease once a service is scaled.

        Before that, the lease would only cost calls to the store.
        """
        while not _has_scaled_services(self._configuration.current()):
            await self._clock.sleep(_SCALING_INTERVAL_S)
        await self._run_shard(
            _SCALING_SHARD, self._open_scaling_work, _SCALING_INTERVAL_S
        )

    @asynccontextmanager
    async def _open_weight_work(
        self, guard: ManagedLeaseGuard
    ) -> AsyncIterator[RunOnce]:
        controller = WeightLoadController(
            guard=guard,
            gateway=self._gateway,
            registry=self._registry,
            versions=self._versions,
            announced_versions=self._announced_versions,
            switch_mode=self._switch_mode,
            clock=self._clock,
            metrics=self._metrics,
        )
        try:
            yield controller.run_once
        finally:
            await controller.close()

    @asynccontextmanager
    async def _open_usage_work(
        self, guard: ManagedLeaseGuard
    ) -> AsyncIterator[RunOnce]:
        reporter = UsageReporter(
            guard=guard,
            store=self._tables,
            platform=HttpUsageReports(self._connection(guard)),
            clock=self._clock,
            rng=self._rng,
            metrics=self._metrics,
            window_s=int(self.settings.bounds.report_window_s),
            grace_s=_USAGE_GRACE_S,
            contact_since_s=self._presence.contact_since_s,
        )
        yield reporter.run_once

    @asynccontextmanager
    async def _open_scaling_work(
        self, guard: ManagedLeaseGuard
    ) -> AsyncIterator[RunOnce]:
        scaling = ZoneCountAutoscaler(
            guard=guard,
            orders=HttpZoneOrders(self._connection(guard)),
            configuration=self._configuration,
            registry=self._registry,
            loads=self._presence.total_loads,
            clock=self._clock,
        )
        yield scaling.run_once

    def _connection(self, guard: ManagedLeaseGuard) -> DutyConnection:
        return DutyConnection(
            lambda: self.settings.cloud.address,
            self._session,
            self._identity.process_id,
            guard.fencing_number,
        )

    def _switch_mode(self) -> SwitchMode:
        """Return what happens to running requests at a switch of weights.

        Running requests finish first if a route requires results of a single
        weight version: a request that continued under the next version would
        lose its result.
        """
        routes = self._configuration.current().routes.values()
        if any(route.single_version for route in routes):
            return SwitchMode.FINISH_FIRST
        return SwitchMode.CONTINUE


def _has_scaled_services(configuration: Configuration) -> bool:
    services = configuration.services.values()
    return any(service.zone_scale is not None for service in services)
