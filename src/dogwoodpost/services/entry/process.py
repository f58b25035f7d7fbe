"""Composition root of the entry process."""

from __future__ import annotations

import random
import uuid
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.nng import NngPeerTransport
from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.observability import Metrics
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.services.entry.configuration_parts import (
    compose_configuration,
)
from dogwoodpost.services.entry.configuration_parts import serve_administration
from dogwoodpost.services.entry.consumption_exchange import ConsumptionExchange
from dogwoodpost.services.entry.control_context import ControlContext
from dogwoodpost.services.entry.http.app import authenticate
from dogwoodpost.services.entry.http.app import create_app
from dogwoodpost.services.entry.http.app import LIFECYCLE
from dogwoodpost.services.entry.platform_clients import open_platform
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from dogwoodpost.services.entry.routing_parts import compose_routing
from dogwoodpost.services.entry.sample_dispatcher import (
    PipelineSampleDispatcher,
)
from dogwoodpost.services.entry.shard_supervisor import ShardSupervisor
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.metrics_app import create_metrics_app
from dogwoodpost.services.rollouts.rollout_service import RolloutService
from dogwoodpost.services.rollouts.routes import add_rollout_routes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.services.entry.configuration_parts import (
        ConfigurationParts,
    )
    from dogwoodpost.services.entry.platform_clients import PlatformClients
    from dogwoodpost.services.entry.routing_parts import RoutingParts

_log = structlog.get_logger(__name__)
_METRICS_SHUTDOWN_TIMEOUT_S = 1.0


def build_entry_process(settings: EntrySettings) -> EntryProcess:
    """Build an entry process, which opens its sockets when it starts."""
    return EntryProcess(settings)


class EntryProcess(CompositeService):
    """An entry process.

    The port attributes are 0 until it has started.
    """

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self.http_port = 0
        self.admin_port = 0
        self.metrics_port = 0
        self.metrics = Metrics()
        self._settings = settings
        self._clock = BoottimeClock()
        self._rng = random.Random()

    async def open_parts(self) -> None:
        """Open the parts; the HTTP server for callers comes last."""
        settings = self._settings
        platform = await self.open_part(
            open_platform(
                settings.platform, self._clock, self._rng, self.metrics
            )
        )
        transport = await self.open_part(self._transport())
        identity = ProcessIdentity(
            process_id=ids.ProcessId(settings.process_id),
            incarnation=ids.Incarnation(uuid.uuid4().hex),
            address=transport.address,
        )
        configuration = compose_configuration(
            settings, identity, platform, transport, self._clock, self._rng
        )
        leases = LeaseManager(
            platform.unretried_tables,
            self._clock,
            self._rng,
            process_id=identity.process_id,
            incarnation=identity.incarnation,
            rank=configuration.service.lease_rank,
        )
        routing = compose_routing(
            settings,
            identity,
            transport,
            configuration.service,
            leases,
            self._clock,
            self._rng,
        )
        await self._open_configuration(configuration, routing)
        await self.run_part(leases)
        pipeline = await self._open_pipeline(platform, identity, routing)
        exchange = ConsumptionExchange(
            identity,
            transport,
            pipeline.admission,
            addresses=lambda: configuration.known_entries.addresses().values(),
        )
        routing.peers.add_handler(
            messages.AccountConsumption, exchange.receive
        )
        await self.run_part(exchange)
        supervisor = ShardSupervisor(
            ControlContext(
                settings=settings,
                platform=platform,
                leases=leases,
                routing=routing,
                admission=pipeline.admission,
                configuration=configuration.service,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
            )
        )
        if settings.control_enabled:
            await self.run_part(supervisor)
        app = create_app(
            pipeline, configuration.service, self.metrics, settings
        )
        if platform.scorer is not None:
            rollouts = RolloutService(
                table=platform.unretried_tables,
                objects=platform.objects,
                dispatcher=PipelineSampleDispatcher(
                    pipeline, configuration.service
                ),
                scorer=platform.scorer,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
                acquire=supervisor.acquire_trainer_lease,
                current_version=routing.fleet.newest_version,
                capacity=routing.fleet.sample_capacity,
            )
            await self._open_rollouts(app, rollouts)
        self.http_port = await self.open_part(self._serving_callers(app))
        _log.info(
            'entry started',
            http_port=self.http_port,
            admin_port=self.admin_port,
            metrics_port=self.metrics_port,
            peer_address=transport.address,
        )

    async def _open_configuration(
        self, configuration: ConfigurationParts, routing: RoutingParts
    ) -> None:
        """Start the metrics, peer, configuration and administration services.

        Returns once the configuration has been read, so that no request is
        served before.
        """
        self.metrics_port = await self.open_part(
            serving(
                create_metrics_app(
                    self.metrics, configuration.service.is_ready
                ),
                self._settings.metrics_listen,
                shutdown_timeout_s=_METRICS_SHUTDOWN_TIMEOUT_S,
            )
        )
        await self.run_part(routing.peers)
        await self.run_part(configuration.registration)
        await self.run_part(configuration.service)
        await configuration.service.wait_ready()
        self.admin_port = await self.open_part(
            serve_administration(configuration, self._settings, self._clock)
        )

    async def _open_pipeline(
        self,
        platform: PlatformClients,
        identity: ProcessIdentity,
        routing: RoutingParts,
    ) -> RequestPipeline:
        usage = await self.run_part(
            UsageTotals(
                host_id=ids.HostId(self._settings.host_id),
                incarnation=identity.incarnation,
                window_s=self._settings.usage_window_s,
                store=platform.unretried_tables,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
            )
        )
        return RequestPipeline(
            runner=routing.runner,
            router=routing.router,
            admission=Admission(),
            usage=usage,
            metrics=self.metrics,
            clock=self._clock,
            rng=self._rng,
        )

    async def _open_rollouts(
        self, app: web.Application, rollouts: RolloutService
    ) -> None:
        await self.run_part(rollouts)
        add_rollout_routes(
            app,
            service=rollouts,
            clock=self._clock,
            authenticate=authenticate,
        )

    @asynccontextmanager
    async def _transport(self) -> AsyncIterator[NngPeerTransport]:
        listen = self._settings.peer_listen
        transport = NngPeerTransport(
            self.metrics, ip=listen.ip, port=listen.port
        )
        try:
            yield transport
        finally:
            await transport.close()

    @asynccontextmanager
    async def _serving_callers(
        self, app: web.Application
    ) -> AsyncIterator[int]:
        """Serve the HTTP API within the context; yields its port.

        On exit, waits for running requests up to the drain timeout.
        """
        timeout_s = self._settings.drain_timeout_s
        async with serving(
            app, self._settings.http_listen, shutdown_timeout_s=timeout_s
        ) as port:
            yield port
            lifecycle = app[LIFECYCLE]
            lifecycle.begin_stop()
            if not await lifecycle.wait_idle(timeout_s):
                _log.warning('requests still run after the drain timeout')
