"""Receives the messages of agents and other entries."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import Any
from typing import TYPE_CHECKING

from mode import Service

from dogwoodpost.core import messages
from dogwoodpost.core.membership.peer_liveness import HEARTBEAT_INTERVAL_S
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.membership.agent_registry import Agent
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.entry.agent_directory import AgentDirectory
    from dogwoodpost.services.entry.attempt_runner import PeerAttemptRunner
    from dogwoodpost.services.entry.endpoint_commander import EndpointCommander

TICK_INTERVAL_S = 0.1


class PeerService(Service):
    """Receive loop, heartbeats and the detection of silent agents.

    :param fencing_numbers: returns the highest number per shard as read from
        the store by reads that began after a time of the clock, in seconds.
    :param handle_entry_message: takes ``ConfigurationPush``,
        ``FreshnessQuery`` and ``FreshnessReply`` messages.
    """

    def __init__(
        self,
        *,
        transport: PeerTransport,
        directory: AgentDirectory,
        runner: PeerAttemptRunner,
        commander: EndpointCommander,
        sender: Sender,
        clock: Clock,
        current_revision: Callable[[], ids.Revision],
        fencing_numbers: Callable[[float], Mapping[str, int]],
        handle_entry_message: Callable[
            [messages.AnyMessage], Awaitable[object]
        ],
    ) -> None:
        super().__init__()
        self._transport = transport
        self._directory = directory
        self._runner = runner
        self._commander = commander
        self._sender = sender
        self._clock = clock
        self._current_revision = current_revision
        self._fencing_numbers = fencing_numbers
        self._handle_entry_message = handle_entry_message
        self._sequence = 0
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._heartbeats: dict[ids.ProcessId, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Start receiving."""
        self.add_future(self._receive())
        self.add_future(self._send_heartbeats())
        self.add_future(self._tick())

    async def on_stop(self) -> None:
        """Wait for the messages that are being sent."""
        await self._runner.close()
        for task in self._open_tasks:
            task.cancel()
        if self._open_tasks:
            await asyncio.wait(self._open_tasks)

    async def _receive(self) -> None:
        while not self.should_stop:
            self._handle(await self._transport.receive())

    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            self._sequence += 1
            self._directory.record_sent(self._sequence)
            for agent in self._directory.agents():
                self._send_heartbeat(agent)
            await self._clock.sleep(HEARTBEAT_INTERVAL_S)

    async def _tick(self) -> None:
        while not self.should_stop:
            for agent in self._directory.remove_silent():
                self._transport.reconnect(agent.address)
                self._runner.fetch_from_agent(agent.agent_id)
            self._runner.tick()
            await self._clock.sleep(TICK_INTERVAL_S)

    def _send_heartbeat(self, agent: Agent) -> None:
        heartbeat = messages.EntryHeartbeat(
            **self._sender.fields(),
            sequence=self._sequence,
            echo_sequence=agent.liveness.last_sequence,
            revision=self._current_revision(),
            fencing_numbers=dict(self._fencing_numbers(agent.first_heard_s)),
        )
        agent.liveness.record_sent(self._sequence, self._clock.monotonic_s())
        # A blocked agent gets no second heartbeat behind the first.
        previous = self._heartbeats.get(agent.agent_id)
        if previous is None or previous.done():
            self._heartbeats[agent.agent_id] = self._start(
                self._send(agent.address, heartbeat)
            )

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        try:
            await self._transport.send(address, message)
        except TransportError:
            # The missing echo shows the peer as silent.
            return

    @singledispatchmethod
    def _handle(self, message: messages.Message) -> None:
        """Ignore messages that are meant for agents."""

    @_handle.register
    def _(self, message: messages.AgentHello) -> None:
        agent = self._directory.agent(message.sender_id)
        was_routed = agent is not None and agent.is_routed
        lost = self._directory.hear(message)
        if lost is not None:
            self._runner.lose_agent(lost)
            if lost.address != message.sender_address:
                self._transport.reconnect(lost.address)
        agent = self._directory.agent(message.sender_id)
        if agent is not None and agent.is_routed and not was_routed:
            self._runner.fetch_from_agent(agent.agent_id)

    @_handle.register
    def _(self, message: messages.LoadReport) -> None:
        self._directory.report_load(message)

    @_handle.register
    def _(self, message: messages.CacheEvents) -> None:
        self._directory.record_cache_events(message)

    @_handle.register
    def _(self, message: messages.EndpointCommandResult) -> None:
        self._commander.handle(message)

    @_handle.register(messages.AttemptRefused)
    @_handle.register(messages.AttemptMissing)
    @_handle.register(messages.ResponseHead)
    @_handle.register(messages.ResponseChunk)
    @_handle.register(messages.ResponseEnd)
    def _(self, message: messages.Message) -> None:
        self._runner.handle(message)

    @_handle.register(messages.ConfigurationPush)
    @_handle.register(messages.FreshnessQuery)
    @_handle.register(messages.FreshnessReply)
    def _(self, message: messages.AnyMessage) -> None:
        self._start(self._pass_on(message))

    async def _pass_on(self, message: messages.AnyMessage) -> None:
        await self._handle_entry_message(message)

    def _start(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)
        return task
