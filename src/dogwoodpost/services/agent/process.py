"""Composes the agent process from its settings."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.http.pooled_connector import PooledConnector
from dogwoodpost.adapters.platform.platform_session import platform_session
from dogwoodpost.adapters.platform.retrying_table_store import (
    RetryingTableStore,
)
from dogwoodpost.adapters.platform.table_store import HttpTableStore
from dogwoodpost.adapters.platform.weight_store import HttpWeightStore
from dogwoodpost.config import plain_secret
from dogwoodpost.observability import Metrics
from dogwoodpost.services.agent.application import build_agent
from dogwoodpost.services.agent.weights import add_weight_routes
from dogwoodpost.services.agent.weights import AgentWeights
from dogwoodpost.services.agent.weights import WeightCache
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.metrics_app import create_metrics_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.config import AgentSettings

_SHUTDOWN_TIMEOUT_S = 1.0
# Long enough for a large model over the billed link between regions.
_WEIGHT_STORE_TIMEOUT_S = 300.0


def build_agent_process(settings: AgentSettings) -> AgentProcess:
    """Return an agent process; it opens its sockets when it starts."""
    return AgentProcess(settings)


class AgentProcess(CompositeService):
    """An agent with its store client, metrics server and weight server."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__()
        self.metrics = Metrics()
        self.metrics_port = 0
        self._settings = settings

    async def open_parts(self) -> None:
        """Open the parts; they close in reverse order, the agent first."""
        platform = self._settings.platform
        session = await self.open_part(
            platform_session(platform, self.metrics)
        )
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
                shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S,
            )
        )
        weights = await self._open_weights()
        await self.run_part(
            build_agent(self._settings, tables, self.metrics, weights)
        )

    async def _open_weights(self) -> AgentWeights | None:
        """Start the server of weights for other agents and own engines.

        Returns None if the settings name no weight store.
        """
        platform = self._settings.platform
        if platform.weight_store_url is None:
            return None
        # Downloads of weights take longer than other calls, so their session
        # has no total timeout; the cache sets connect and read timeouts.
        session = await self.open_part(
            aiohttp.ClientSession(
                connector=PooledConnector(self.metrics),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        )
        store = HttpWeightStore(
            session,
            str(platform.weight_store_url),
            timeout_s=_WEIGHT_STORE_TIMEOUT_S,
            token=plain_secret(platform.token),
        )
        cache = await self.open_part(_closing(WeightCache(session, store)))
        app = web.Application()
        add_weight_routes(app, cache)
        listen = self._settings.weights_listen
        port = await self.open_part(
            serving(app, listen, shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S)
        )
        return AgentWeights(cache, f'http://{listen.ip}:{port}')


@asynccontextmanager
async def _closing(cache: WeightCache) -> AsyncIterator[WeightCache]:
    try:
        yield cache
    finally:
        await cache.close()
