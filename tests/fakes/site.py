"""One agent and one entry on loopback, with two endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.nng import NngPeerTransport
from dogwoodpost.config import AgentSettings
from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.attempt_runner import AttemptSpec
from dogwoodpost.services.agent.application import build_agent
from dogwoodpost.services.entry.agent_directory import AgentDirectory
from dogwoodpost.services.entry.endpoint_commander import EndpointCommander
from dogwoodpost.services.entry.peer_attempt_runner import PeerAttemptRunner
from dogwoodpost.services.entry.peer_service import PeerService
from dogwoodpost.standins import plain_service
from dogwoodpost.standins.engine import ENGINE
from dogwoodpost.standins.memory_store import MemoryTableStore

if TYPE_CHECKING:
    from collections.abc import Callable

    import mode
    from aiohttp.test_utils import TestServer

    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent


class FakeListener:
    """Keeps the notifications of the agent directory."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.loads: dict[str, messages.EndpointLoad] = {}
        self.cache_events: list[messages.CacheEvents] = []

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        self.endpoints[endpoint.endpoint_id] = endpoint

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        self.endpoints.pop(endpoint_id, None)

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        self.loads[load.endpoint_id] = load

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        self.cache_events.append(events)


class LossyTransport(NngPeerTransport):
    """Drops received messages for which ``drops_message`` is true."""

    def __init__(self) -> None:
        super().__init__(Metrics())
        self.drops_message: Callable[[messages.AnyMessage], bool] = lambda _: (
            False
        )

    async def receive(self) -> messages.AnyMessage:
        while True:
            message = await super().receive()
            if not self.drops_message(message):
                return message


class Entry:
    """The services of an entry that communicate with agents."""

    def __init__(self) -> None:
        self.transport = LossyTransport()
        self.identity = ProcessIdentity(
            process_id=ids.ProcessId('entry-1'),
            incarnation=ids.Incarnation('e1'),
            address=self.transport.address,
        )
        self.listener = FakeListener()
        self.fencing_numbers: dict[str, int] = {}
        clock = BoottimeClock()
        self.directory = AgentDirectory(self.listener)
        self.runner = PeerAttemptRunner(
            self.identity, self.transport, self.directory, clock
        )
        self.commander = EndpointCommander(self.identity, self.transport)
        self.service = PeerService(
            self.identity,
            self.transport,
            clock,
            self.directory,
            self.runner,
            self.commander,
            revision=lambda: ids.Revision(1),
            fencing_numbers=lambda since_s: self.fencing_numbers,
            handle_entry_message=self._handle_entry_message,
        )

    async def _handle_entry_message(
        self, message: messages.AnyMessage
    ) -> None:
        raise AssertionError(message)

    async def run(
        self, endpoint_id: str, spec: AttemptSpec
    ) -> list[AttemptEvent]:
        endpoint = self.listener.endpoints[endpoint_id]
        return [event async for event in self.runner.run(endpoint, spec)]


class Site:
    """An entry, an agent, an engine and a plain service."""

    def __init__(self, engine: TestServer, plain: TestServer) -> None:
        self.engine = engine.app[ENGINE]
        self.plain = plain.app[plain_service.STATE]
        self.entry = Entry()
        self.tables = MemoryTableStore()
        self._urls = {'engine-1': engine, 'plain-1': plain}
        self.agent = self.build_agent()

    @property
    def plain_executions(self) -> dict[str, int]:
        """How often the plain service has run each request."""
        return self.plain._executions

    @property
    def plain_secret_count(self) -> int:
        """How many requests to the plain service carried a key."""
        return self.plain._secret_count

    def build_agent(self, **changes: object) -> mode.Service:
        endpoints = [
            {
                'endpoint_id': name,
                'service': name.partition('-')[0],
                'url': str(server.make_url('/')),
                'max_concurrency': 4,
            }
            for name, server in self._urls.items()
        ]
        document = {
            'process_id': 'agent-1',
            'host_id': 'host-1',
            'region': 'minas',
            'availability_zone': 'minas-a',
            'platform': {
                'table_store_url': 'http://127.0.0.1:1',
                'object_store_url': 'http://127.0.0.1:1',
            },
            'drain_timeout_s': 10.0,
            'endpoints': endpoints,
            'seed_entry_addresses': [self.entry.transport.address],
            **changes,
        }
        settings = AgentSettings.model_validate(document)
        return build_agent(settings, self.tables, Metrics())

    def set_drain_timeout(self, timeout_s: float) -> None:
        """Change how long the agent waits for running attempts at a stop."""
        agent = self.agent.agent
        agent._settings = agent._settings.model_copy(
            update={'drain_timeout_s': timeout_s}
        )

    async def kill_agent(self) -> None:
        """End the agent without a drain, as a crash does."""
        self.set_drain_timeout(0.0)
        await self.agent.agent.transport.close()
        await self.agent.stop()

    async def start(self) -> None:
        await self.entry.service.start()
        await self.agent.start()
        await eventually(lambda: len(self.entry.listener.endpoints) == 2)


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the test runner bounds the wait."""
    async with asyncio.timeout(30):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


def make_spec(attempt_id: str, **changes: object) -> AttemptSpec:
    """Return a completion request with the given fields replaced."""
    fields = {
        'attempt_id': ids.AttemptId(attempt_id),
        'client_account_id': None,
        'method': 'POST',
        'path': '/v1/completions',
        'headers': (('Content-Type', 'application/json'),),
        'body': msgspec.json.encode(
            {'model': 'slate-lm', 'prompt': attempt_id, 'max_tokens': 16}
        ),
        'timeout_s': 20.0,
        'idempotent': True,
    }
    return AttemptSpec(**{**fields, **changes})
