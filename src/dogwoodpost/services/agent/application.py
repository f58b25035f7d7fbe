"""Puts an agent process together from its settings."""

from __future__ import annotations

import contextlib
import uuid
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.http import endpoint_session
from dogwoodpost.adapters.http import HttpEndpointClient
from dogwoodpost.adapters.nng import NngPeerTransport
from dogwoodpost.adapters.platform.platform_session import platform_session
from dogwoodpost.adapters.platform.table_store import HttpTableStore
from dogwoodpost.core import ids
from dogwoodpost.core.attempts.sender import Sender
from dogwoodpost.services.agent.agent import Agent
from dogwoodpost.services.agent.endpoint_slot import EndpointSlot
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.metrics_app import create_metrics_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp
    import mode

    from dogwoodpost.config import AgentSettings
    from dogwoodpost.observability import Metrics
    from dogwoodpost.services.agent.command_runner import WeightHandler

METRICS_SHUTDOWN_TIMEOUT_S = 1.0

_logger = structlog.get_logger(__name__)


class AgentApplication(CompositeService):
    """An agent with its sockets."""

    def __init__(
        self,
        settings: AgentSettings,
        metrics: Metrics,
        weight_handler: WeightHandler | None,
    ) -> None:
        super().__init__()
        self.peer_address = ''
        self.metrics_port = 0
        self._settings = settings
        self._metrics = metrics
        self._weight_handler = weight_handler

    async def open_parts(self) -> None:
        """Open the sockets, then start the agent."""
        settings = self._settings
        transport = await self.open_part(self._transport())
        endpoints = await self.open_part(endpoint_session())
        platform = await self.open_part(platform_session(settings.platform))
        tables = HttpTableStore(
            platform, str(settings.platform.table_store_url), self._metrics
        )
        agent = Agent(
            settings,
            slots=self._slots(endpoints),
            transport=transport,
            tables=tables,
            sender=Sender(
                process_id=transport.process_id,
                incarnation=transport.incarnation,
                address=transport.address,
            ),
            clock=BoottimeClock(),
            metrics=self._metrics,
            weight_handler=self._weight_handler,
        )
        app = create_metrics_app(self._metrics, agent.is_ready)
        self.metrics_port = await self.open_part(
            serving(
                app,
                settings.metrics_listen,
                shutdown_timeout_s=METRICS_SHUTDOWN_TIMEOUT_S,
            )
        )
        await self.run_part(agent)
        self.peer_address = transport.address
        _logger.info(
            'agent_started',
            peer_address=self.peer_address,
            metrics_port=self.metrics_port,
        )

    def _slots(self, session: aiohttp.ClientSession) -> list[EndpointSlot]:
        return [
            EndpointSlot(
                endpoint,
                HttpEndpointClient(
                    session,
                    str(endpoint.url),
                    ids.EndpointId(endpoint.endpoint_id),
                ),
            )
            for endpoint in self._settings.endpoints
        ]

    @contextlib.asynccontextmanager
    async def _transport(self) -> AsyncIterator[NngPeerTransport]:
        transport = NngPeerTransport(
            self._settings.peer_listen,
            self._metrics,
            ids.ProcessId(self._settings.process_id),
            ids.Incarnation(uuid.uuid4().hex),
        )
        try:
            yield transport
        finally:
            await transport.close()


def build_agent(
    settings: AgentSettings,
    metrics: Metrics,
    weight_handler: WeightHandler | None = None,
) -> mode.Service:
    """Return an agent that is ready to be started."""
    return AgentApplication(settings, metrics, weight_handler)
