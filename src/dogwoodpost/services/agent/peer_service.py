"""Receives the messages of entries and sends heartbeats to them."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import structlog
from mode import Service

from dogwoodpost.core import messages
from dogwoodpost.core.membership.peer_liveness import HEARTBEAT_INTERVAL_S
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core.attempts.hello_times import HelloTimes
    from dogwoodpost.core.membership.entry_registry import EntryRegistry
    from dogwoodpost.core.membership.entry_registry import KnownEntry
    from dogwoodpost.core.membership.fencing_guard import FencingGuard
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.agent.attempt_executor import AttemptExecutor
    from dogwoodpost.services.agent.command_runner import CommandRunner
    from dogwoodpost.services.agent.endpoint_reports import EndpointReports

_logger = structlog.get_logger(__name__)


class AgentPeerService(Service):
    """Receive loop, heartbeats and the detection of silent entries.

    :param hello: returns a heartbeat with a sequence and an echo.
    """

    def __init__(
        self,
        *,
        transport: PeerTransport,
        entries: EntryRegistry,
        executor: AttemptExecutor,
        commands: CommandRunner,
        guard: FencingGuard,
        hello_times: HelloTimes,
        reports: EndpointReports,
        clock: Clock,
        hello: Callable[[int, int], messages.AgentHello],
    ) -> None:
        super().__init__()
        self._transport = transport
        self._entries = entries
        self._executor = executor
        self._commands = commands
        self._guard = guard
        self._hello_times = hello_times
        self._reports = reports
        self._clock = clock
        self._hello = hello
        self._sequence = 0
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Start receiving."""
        self.add_future(self._receive())
        self.add_future(self._beat_regularly())

    async def on_stop(self) -> None:
        """Wait for the messages that are being sent."""
        if self._beats:
            await asyncio.wait(self._beats.values())

    def beat(self) -> int:
        """Send a heartbeat to all entries; return its sequence."""
        now_s = self._clock.monotonic_s()
        self._sequence += 1
        self._hello_times.record(self._sequence, now_s)
        for entry in self._entries.entries():
            if entry.liveness.reconnect_if_due(now_s):
                _logger.warning('entry_silent', address=entry.address)
                self._transport.reconnect(entry.address)
            entry.liveness.record_sent(self._sequence, now_s)
            # A blocked entry gets no second heartbeat behind the first.
            previous = self._beats.get(entry.address)
            if previous is None or previous.done():
                self._beats[entry.address] = asyncio.ensure_future(
                    self._send_beat(entry)
                )
        return self._sequence

    async def _receive(self) -> None:
        while not self.should_stop:
            self._handle(await self._transport.receive())

    async def _beat_regularly(self) -> None:
        while not self.should_stop:
            self.beat()
            self._executor.tick()
            await self._clock.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_beat(self, entry: KnownEntry) -> None:
        hello = self._hello(self._sequence, entry.liveness.last_sequence)
        try:
            await self._transport.send(entry.address, hello)
            await self._transport.send(
                entry.address, self._reports.load_report()
            )
        except TransportError:
            # The missing echo shows the entry as silent.
            return

    @singledispatchmethod
    def _handle(self, message: messages.Message) -> None:
        """Ignore messages that are meant for entries."""

    @_handle.register
    def _(self, message: messages.EntryHeartbeat) -> None:
        self._entries.hear(message, self._clock.monotonic_s())
        self._guard.learn(message.fencing_numbers)

    @_handle.register
    def _(self, message: messages.StartAttempt) -> None:
        self._executor.start(message)

    @_handle.register
    def _(self, message: messages.FetchAttempt) -> None:
        self._executor.fetch(message)

    @_handle.register
    def _(self, message: messages.CancelAttempt) -> None:
        self._executor.cancel(message)

    @_handle.register
    def _(self, message: messages.AcknowledgeAttempt) -> None:
        self._executor.acknowledge(message)

    @_handle.register
    def _(self, message: messages.EndpointCommand) -> None:
        self._commands.start(message)
