"""Main service of the agent process, which alone calls its endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts import AttemptRecord
from dogwoodpost.core.membership import HEARTBEAT_PERIOD_S
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.errors import TransportError
from dogwoodpost.services.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.config import AgentSettings
    from dogwoodpost.core.attempts import AgentAttempts
    from dogwoodpost.core.membership import FencingNumbers
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.agent.attempt_worker import AttemptWorker
    from dogwoodpost.services.agent.endpoint_commands import EndpointCommands
    from dogwoodpost.services.agent.endpoint_watch import EndpointWatch
    from dogwoodpost.services.agent.entry_links import EntryLink
    from dogwoodpost.services.agent.entry_links import EntryLinks

REGISTRATION_PERIOD_S = 5.0
LOAD_PERIOD_S = 1.0
_DRAIN_POLL_S = 0.05

_log = structlog.get_logger(__name__)


class Agent(mode.Service):
    """Runs the attempts and commands of entries at this host's endpoints.

    It sends heartbeats, loads and cache events of its endpoints to all live
    entries.
    """

    def __init__(
        self,
        settings: AgentSettings,
        identity: ProcessIdentity,
        transport: PeerTransport,
        clock: Clock,
        links: EntryLinks,
        attempts: AgentAttempts,
        worker: AttemptWorker,
        numbers: FencingNumbers,
        commands: EndpointCommands,
        watches: Sequence[EndpointWatch],
        metrics: Metrics,
        weights_url: str = '',
    ) -> None:
        super().__init__()
        self._settings = settings
        self.identity = identity
        self.transport = transport
        self._clock = clock
        self._links = links
        self._attempts = attempts
        self._worker = worker
        self._fencing_numbers = numbers
        self._commands = commands
        self._watches = tuple(watches)
        self._metrics = metrics
        self._weights_url = weights_url
        self._sequence = 0
        self._background = BackgroundTasks()
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            messages.EntryHeartbeat: self._on_heartbeat,
            messages.StartAttempt: self._on_start_attempt,
            messages.FetchAttempt: self._on_fetch,
            messages.CancelAttempt: self._on_cancel,
            messages.AcknowledgeAttempt: self._attempts.acknowledge,
            messages.EndpointCommand: self._on_command,
        }

    async def on_start(self) -> None:
        """Read the registered entries, then start the periodic tasks."""
        await self._links.read_registrations(self._now_s())
        await asyncio.gather(*(watch.poll() for watch in self._watches))
        self.add_future(self._receive())
        self.add_future(
            self._repeat(HEARTBEAT_PERIOD_S, self._send_heartbeats)
        )
        for watch in self._watches:
            # Separate tasks, so that one slow endpoint delays no other.
            self.add_future(self._repeat(LOAD_PERIOD_S, watch.poll))
        self.add_future(self._repeat(LOAD_PERIOD_S, self._send_load_reports))
        self.add_future(
            self._repeat(REGISTRATION_PERIOD_S, self._refresh_registrations)
        )

    async def on_stop(self) -> None:
        """Drain: announce it, refuse new attempts, finish the running ones.

        The wait ends when no attempt runs, the live entries have acknowledged
        all responses and have echoed the heartbeat that announces the drain,
        at the latest after the drain timeout.
        """
        self._attempts.draining = True
        deadline_s = self._now_s() + self._settings.drain_timeout_s
        await self._send_heartbeats()
        drain_sequence = self._sequence
        while self._now_s() < deadline_s:
            if self._is_drained() and self._is_echoed(drain_sequence):
                break
            await asyncio.sleep(_DRAIN_POLL_S)
        else:
            _log.warning(
                'drain_timeout', running=self._attempts.running_count()
            )
        await self._worker.close()

    async def on_shutdown(self) -> None:
        """Close the connections after all tasks have ended."""
        await self._background.cancel()
        await self.transport.close()

    def _is_drained(self) -> bool:
        if self._attempts.running_count() > 0:
            return False
        live = self._links.live(self._now_s())
        return not live or self._attempts.unacknowledged_count() == 0

    def _is_echoed(self, sequence: int) -> bool:
        return all(
            link.liveness.confirmed_sequence >= sequence
            for link in self._links.live(self._now_s())
        )

    async def _receive(self) -> None:
        while True:
            message = await self.transport.receive()
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message)

    async def _repeat(
        self, period_s: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await action()
            await asyncio.sleep(period_s)

    # Periodic work

    async def _send_heartbeats(self) -> None:
        now_s = self._now_s()
        self._sequence += 1
        self._attempts.record_hello(self._sequence, now_s)
        self._links.reopen_silent(now_s)
        for process_id in self._links.collect_dead_entries(now_s):
            for record in self._attempts.orphaned_by(process_id):
                self._worker.cancel(record)
        self._attempts.expire(now_s)
        for link in self._links.all():
            # Skip a peer whose last heartbeat is still being sent, so that
            # heartbeats do not pile up behind a blocked connection.
            if not link.is_sending_hello:
                self._background.spawn(self._send_hello(link))

    async def _send_hello(self, link: EntryLink) -> None:
        settings = self._settings
        hello = messages.AgentHello(
            **self.identity.sender_fields(),
            host_id=ids.HostId(settings.host_id),
            availability_zone=ids.AvailabilityZone(settings.availability_zone),
            region=ids.Region(settings.region),
            sequence=self._sequence,
            echo_sequence=link.liveness.received_sequence,
            endpoints=tuple(watch.state() for watch in self._watches),
            leaving=self._attempts.draining,
            weights_url=self._weights_url,
        )
        link.is_sending_hello = True
        try:
            await self._send(link.address, hello)
        finally:
            link.is_sending_hello = False

    async def _send_load_reports(self) -> None:
        loads = [watch.load() for watch in self._watches]
        report = messages.LoadReport(
            **self.identity.sender_fields(),
            loads=tuple(load for load in loads if load is not None),
        )
        updates: list[messages.AnyMessage] = [report]
        for watch in self._watches:
            updates += watch.take_events()
        for link in self._links.live(self._now_s()):
            self._worker.send_in_background(link.address, updates)

    async def _refresh_registrations(self) -> None:
        await self._links.read_registrations(self._now_s())

    # Messages

    def _on_heartbeat(self, message: messages.EntryHeartbeat) -> None:
        result = self._links.record_heartbeat(message, self._now_s())
        if result is HeartbeatResult.OUTDATED:
            return
        self._fencing_numbers.record_read_back(message.fencing_numbers)
        if result is HeartbeatResult.RESTARTED:
            for record in self._attempts.orphaned_by(
                message.sender_id, message.sender_incarnation
            ):
                self._worker.cancel(record)
            self._background.spawn(
                self._send_snapshots(message.sender_address)
            )

    async def _send_snapshots(self, address: str) -> None:
        for watch in self._watches:
            events = await watch.snapshot()
            if events is not None:
                await self._send(address, events)

    def _on_start_attempt(self, message: messages.StartAttempt) -> None:
        result = self._attempts.start(message, self._now_s())
        if isinstance(result, AttemptRecord):
            self._worker.start(result, message)
        elif result is not None:
            self._metrics.refusals.labels(result.reason.value).inc()
            self._worker.send_in_background(message.sender_address, (result,))

    def _on_fetch(self, message: messages.FetchAttempt) -> None:
        parts = self._attempts.fetch(message, self._now_s())
        self._worker.send_in_background(message.sender_address, parts)

    def _on_cancel(self, message: messages.CancelAttempt) -> None:
        result = self._attempts.cancel(message, self._now_s())
        if isinstance(result, AttemptRecord):
            self._worker.cancel(result)
        elif result is not None:
            self._worker.send_in_background(message.sender_address, (result,))

    def _on_command(self, message: messages.EndpointCommand) -> None:
        self._background.spawn(self._execute(message))

    async def _execute(self, command: messages.EndpointCommand) -> None:
        result = await self._commands.execute(command)
        await self._send(command.sender_address, result)

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        # Errors are ignored: heartbeats are periodic, and the entry repeats a
        # command whose result was lost.
        with contextlib.suppress(TransportError):
            await self.transport.send(address, message)

    def _now_s(self) -> float:
        return self._clock.monotonic_s()
