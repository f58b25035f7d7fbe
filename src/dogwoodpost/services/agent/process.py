"""The agent process: composes its parts from the settings."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.platform.platform_session import platform_session
from dogwoodpost.adapters.platform.retrying_table_store import (
    RetryingTableStore,
)
from dogwoodpost.adapters.platform.table_store import HttpTableStore
from dogwoodpost.observability import Metrics
from dogwoodpost.services.agent.application import build_agent
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.metrics_app import create_metrics_app

if TYPE_CHECKING:
    from dogwoodpost.config import AgentSettings

_METRICS_SHUTDOWN_TIMEOUT_S = 1.0


def build_agent_process(settings: AgentSettings) -> AgentProcess:
    """Return an agent process; it opens its sockets when it starts."""
    return AgentProcess(settings)


class AgentProcess(CompositeService):
    """An agent with its store client and its metrics server."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__()
        self.metrics = Metrics()
        self.metrics_port = 0
        self._settings = settings

    async def open_parts(self) -> None:
        """Open the parts; the agent stops first."""
        platform = self._settings.platform
        session = await self.open_part(platform_session(platform))
        tables = RetryingTableStore(
            HttpTableStore(
                session, str(platform.table_store_url), self.metrics
            ),
            BoottimeClock(),
            random.Random(),
        )
        self.metrics_port = await self.open_part(
            serving(
                create_metrics_app(self.metrics, lambda: True),
                self._settings.metrics_listen,
                shutdown_timeout_s=_METRICS_SHUTDOWN_TIMEOUT_S,
            )
        )
        await self.run_part(build_agent(self._settings, tables, self.metrics))
