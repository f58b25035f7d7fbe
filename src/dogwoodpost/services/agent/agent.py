"""The agent beside the endpoints of one host."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.agent_attempts import AgentAttempts
from dogwoodpost.core.attempts.hello_times import HelloTimes
from dogwoodpost.core.membership.entry_registry import EntryRegistry
from dogwoodpost.core.membership.fencing_guard import FencingGuard
from dogwoodpost.services.agent.attempt_executor import AttemptExecutor
from dogwoodpost.services.agent.command_runner import CommandRunner
from dogwoodpost.services.agent.endpoint_reports import EndpointReports
from dogwoodpost.services.agent.entry_follower import EntryFollower
from dogwoodpost.services.agent.peer_service import AgentPeerService
from dogwoodpost.services.composite_service import CompositeService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from dogwoodpost.config import AgentSettings
    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.agent.command_runner import WeightHandler
    from dogwoodpost.services.agent.endpoint_slot import EndpointSlot

DRAIN_POLL_S = 0.05

_logger = structlog.get_logger(__name__)


class Agent(CompositeService):
    """Runs attempts and orders at its endpoints.

    The transport, the store and the endpoint clients are opened and closed by
    the caller.

    :param weights_url: where other agents fetch weights from this one.
    """

    def __init__(
        self,
        settings: AgentSettings,
        *,
        slots: Sequence[EndpointSlot],
        transport: PeerTransport,
        tables: TableStore,
        sender: Sender,
        clock: Clock,
        metrics: Metrics,
        weight_handler: WeightHandler | None = None,
        weights_url: str = '',
    ) -> None:
        super().__init__()
        self._settings = settings
        self._slots = slots
        self._sender = sender
        self._clock = clock
        self._weights_url = weights_url
        self._entries = EntryRegistry(
            settings.seed_entry_addresses, clock.monotonic_s()
        )
        hello_times = HelloTimes()
        by_id = {slot.endpoint_id: slot for slot in slots}
        self._executor = AttemptExecutor(
            attempts=AgentAttempts(
                sender,
                hello_times,
                retained_bytes=settings.retained_answer_bytes,
            ),
            slots=by_id,
            entries=self._entries,
            transport=transport,
            sender=sender,
            clock=clock,
            metrics=metrics,
        )
        guard = FencingGuard()
        self._commands = CommandRunner(
            slots=by_id,
            guard=guard,
            transport=transport,
            sender=sender,
            weight_handler=weight_handler,
        )
        self._reports = EndpointReports(slots, sender, clock)
        self._peers = AgentPeerService(
            transport=transport,
            entries=self._entries,
            executor=self._executor,
            commands=self._commands,
            guard=guard,
            hello_times=hello_times,
            reports=self._reports,
            clock=clock,
            hello=self._hello,
        )
        self._follower = EntryFollower(
            tables, self._entries, transport, clock, random.Random()
        )

    def is_ready(self) -> bool:
        """Return whether an entry hears this agent and may send work."""
        now_s = self._clock.monotonic_s()
        return not self._executor.leaving and self._entries.has_live(now_s)

    async def open_parts(self) -> None:
        """Start to follow the entries, then to receive from them."""
        await self.run_part(self._reports)
        await self._follower.scan()
        await self.run_part(self._follower)
        await self.run_part(self._peers)
        await self.open_part(self._drained_at_end())

    @contextlib.asynccontextmanager
    async def _drained_at_end(self) -> AsyncIterator[None]:
        yield
        end_s = self._clock.monotonic_s() + self._settings.drain_timeout_s
        self._executor.leaving = True
        sequence = self._peers.beat()
        _logger.info('agent_draining')
        # An entry that has echoed the heartbeat sends no new attempts, and
        # those that it sent before have arrived.
        while not self._entries.all_echoed(
            sequence, self._clock.monotonic_s()
        ):
            if self._clock.monotonic_s() >= end_s:
                break
            await self._clock.sleep(DRAIN_POLL_S)
        await self._executor.drain(end_s)
        await self._commands.close()

    def _hello(self, sequence: int, echo_sequence: int) -> messages.AgentHello:
        settings = self._settings
        return messages.AgentHello(
            **self._sender.fields(),
            host_id=ids.HostId(settings.host_id),
            availability_zone=ids.AvailabilityZone(settings.availability_zone),
            region=ids.Region(settings.region),
            sequence=sequence,
            echo_sequence=echo_sequence,
            endpoints=tuple(slot.state for slot in self._slots),
            leaving=self._executor.leaving,
            weights_url=self._weights_url,
        )
