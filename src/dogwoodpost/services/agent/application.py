"""Composes an agent from its settings."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import mode

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.http import HttpEndpointClient
from dogwoodpost.adapters.http.endpoint_session import endpoint_session
from dogwoodpost.adapters.nng import NngPeerTransport
from dogwoodpost.core import ids
from dogwoodpost.core.attempts import AgentAttemptLimits
from dogwoodpost.core.attempts import AgentAttempts
from dogwoodpost.core.membership import FencingNumbers
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.services.agent.agent import Agent
from dogwoodpost.services.agent.attempt_worker import AttemptWorker
from dogwoodpost.services.agent.endpoint_commands import EndpointCommands
from dogwoodpost.services.agent.endpoint_watch import EndpointWatch
from dogwoodpost.services.agent.entry_links import EntryLinks

if TYPE_CHECKING:
    import aiohttp

    from dogwoodpost.config import AgentSettings
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.agent.weights import AgentWeights


def build_agent(
    settings: AgentSettings,
    table_store: TableStore,
    metrics: Metrics,
    weights: AgentWeights | None = None,
) -> mode.Service:
    """Return an agent; it opens its sockets when it starts.

    Without ``weights``, each engine fetches weight versions itself.
    """
    return AgentApplication(settings, table_store, metrics, weights)


class AgentApplication(mode.Service):
    """Owns the HTTP session and the transport of an agent."""

    def __init__(
        self,
        settings: AgentSettings,
        table_store: TableStore,
        metrics: Metrics,
        weights: AgentWeights | None,
    ) -> None:
        super().__init__()
        self._weights = weights
        self._settings = settings
        self._table_store = table_store
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None
        self.agent: Agent | None = None

    async def on_start(self) -> None:
        """Open the sockets and start the agent."""
        self._session = endpoint_session(self._metrics)
        self.agent = _compose(
            self._settings,
            self._table_store,
            self._metrics,
            self._session,
            self._weights,
        )
        await self.add_runtime_dependency(self.agent)

    async def on_shutdown(self) -> None:
        """Close the session after the agent has stopped."""
        if self._session is not None:
            await self._session.close()


def _compose(
    settings: AgentSettings,
    table_store: TableStore,
    metrics: Metrics,
    session: aiohttp.ClientSession,
    weights: AgentWeights | None,
) -> Agent:
    clock = BoottimeClock()
    listen = settings.peer_listen
    transport = NngPeerTransport(metrics, ip=listen.ip, port=listen.port)
    identity = ProcessIdentity(
        process_id=ids.ProcessId(settings.process_id),
        incarnation=ids.Incarnation(uuid.uuid4().hex),
        address=transport.address,
    )
    clients = {
        ids.EndpointId(endpoint.endpoint_id): HttpEndpointClient(
            ids.EndpointId(endpoint.endpoint_id), str(endpoint.url), session
        )
        for endpoint in settings.endpoints
    }
    attempts = _attempts(settings, identity, clock.monotonic_s())
    numbers = FencingNumbers()
    watches = [
        EndpointWatch(
            ids.EndpointId(endpoint.endpoint_id),
            ids.ServiceName(endpoint.service),
            clients[ids.EndpointId(endpoint.endpoint_id)],
            attempts,
            identity,
            clock,
        )
        for endpoint in settings.endpoints
    ]
    checks_fencing = frozenset(
        ids.EndpointId(endpoint.endpoint_id)
        for endpoint in settings.endpoints
        if endpoint.checks_fencing
    )
    return Agent(
        settings,
        identity,
        transport,
        clock,
        EntryLinks(
            settings.seed_entry_addresses,
            table_store,
            transport,
            clock.monotonic_s(),
        ),
        attempts,
        AttemptWorker(attempts, clients, transport, clock, metrics),
        numbers,
        EndpointCommands(
            identity,
            clients,
            checks_fencing,
            attempts,
            numbers,
            metrics,
            weights,
        ),
        watches,
        metrics,
        weights_url='' if weights is None else weights.url,
    )


def _attempts(
    settings: AgentSettings, identity: ProcessIdentity, now_s: float
) -> AgentAttempts:
    return AgentAttempts(
        identity,
        {
            ids.EndpointId(endpoint.endpoint_id): endpoint.max_concurrency
            for endpoint in settings.endpoints
        },
        AgentAttemptLimits(retained_bytes=settings.retained_answer_bytes),
        now_s,
    )
