"""Exchanges messages with agents and other entries."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import mode

from dogwoodpost.core import messages
from dogwoodpost.core.membership import HEARTBEAT_PERIOD_S
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.errors import TransportError
from dogwoodpost.services.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.entry.agent_directory import AgentDirectory
    from dogwoodpost.services.entry.agent_directory import KnownAgent
    from dogwoodpost.services.entry.endpoint_commander import EndpointCommander
    from dogwoodpost.services.entry.peer_attempt_runner import (
        PeerAttemptRunner,
    )

_ATTEMPT_POLL_PERIOD_S = 0.1

_RESPONSE_TYPES = (
    messages.AttemptRefused,
    messages.AttemptMissing,
    messages.ResponseHead,
    messages.ResponseChunk,
    messages.ResponseEnd,
)


class PeerService(mode.Service):
    """Dispatches messages, sends heartbeats and detects unreachable agents.

    :param revision: returns the configuration revision in force.
    :param fencing_numbers: returns the fencing numbers, by shard, that this
        process has read from the store since the given monotonic time in
        seconds.
    :param handle_entry_message: handles configuration messages of other
        entries, which are all messages that have no registered handler.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        transport: PeerTransport,
        clock: Clock,
        directory: AgentDirectory,
        runner: PeerAttemptRunner,
        commander: EndpointCommander,
        *,
        revision: Callable[[], ids.Revision],
        fencing_numbers: Callable[[float], Mapping[str, int]],
        handle_entry_message: Callable[
            [messages.AnyMessage], Coroutine[Any, Any, None]
        ],
    ) -> None:
        super().__init__()
        self._sender = identity.sender_fields()
        self._transport = transport
        self._clock = clock
        self._directory = directory
        self._runner = runner
        self._commander = commander
        self._revision = revision
        self._fencing_numbers = fencing_numbers
        self._handle_entry_message = handle_entry_message
        self._sequence = 0
        self._background = BackgroundTasks()
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            messages.AgentHello: self._on_hello,
            messages.LoadReport: self._on_load,
            messages.CacheEvents: self._on_cache_events,
            messages.EndpointCommandResult: commander.receive,
            **dict.fromkeys(_RESPONSE_TYPES, runner.receive),
        }

    def add_handler(
        self, message_type: type[Any], handler: Callable[[Any], None]
    ) -> None:
        """Register the handler for messages of a type."""
        self._handlers[message_type] = handler

    async def on_start(self) -> None:
        """Start to receive messages and to send heartbeats."""
        self.add_future(self._receive())
        self.add_future(self._send_heartbeats_forever())
        self.add_future(self._poll_attempts_forever())

    async def on_shutdown(self) -> None:
        """Send the last acknowledgements and close the connections."""
        await self._runner.close()
        await self._background.cancel()
        await self._transport.close()

    async def _receive(self) -> None:
        while True:
            message = await self._transport.receive()
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(message)
            else:
                self._background.spawn(self._handle_entry_message(message))

    async def _send_heartbeats_forever(self) -> None:
        while True:
            self._send_heartbeats()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def _poll_attempts_forever(self) -> None:
        while True:
            self._runner.poll()
            await asyncio.sleep(_ATTEMPT_POLL_PERIOD_S)

    def _send_heartbeats(self) -> None:
        now_s = self._clock.monotonic_s()
        self._sequence += 1
        for agent in self._directory.remove_unreachable(now_s):
            self._runner.agent_gone(agent)
            if self._directory.find(agent.process_id) is None:
                self._transport.reconnect(agent.address)
        for agent in self._directory.agents():
            if agent.liveness.check_reconnect_due(now_s):
                self._transport.reconnect(agent.address)
                self._runner.agent_reconnected(agent)
            # At most one heartbeat per agent is in flight, so that they do not
            # pile up for an agent that takes no messages.
            if not agent.heartbeat_in_flight:
                self._background.spawn(self._send_heartbeat(agent))

    async def _send_heartbeat(self, agent: KnownAgent) -> None:
        since_s = agent.liveness.incarnation_since_s
        heartbeat = messages.EntryHeartbeat(
            **self._sender,
            sequence=self._sequence,
            echo_sequence=agent.liveness.received_sequence,
            revision=self._revision(),
            fencing_numbers=dict(self._fencing_numbers(since_s)),
        )
        agent.heartbeat_in_flight = True
        try:
            # The next period sends another heartbeat.
            with contextlib.suppress(TransportError):
                await self._transport.send(agent.address, heartbeat)
        finally:
            agent.heartbeat_in_flight = False

    def _on_hello(self, hello: messages.AgentHello) -> None:
        now_s = self._clock.monotonic_s()
        is_new = self._directory.find(hello.sender_id) is None
        result = self._directory.record_hello(hello, now_s)
        agent = self._directory.find(hello.sender_id)
        if agent is None or result is HeartbeatResult.OUTDATED:
            return
        if result is HeartbeatResult.RESTARTED:
            self._runner.agent_restarted(agent)
        if is_new or hello.leaving or result is HeartbeatResult.RESTARTED:
            # Answered at once, because the agent waits for its sequence number
            # to be echoed.
            if not agent.heartbeat_in_flight:
                self._background.spawn(self._send_heartbeat(agent))

    def _on_load(self, report: messages.LoadReport) -> None:
        self._directory.record_load(report, self._clock.monotonic_s())

    def _on_cache_events(self, events: messages.CacheEvents) -> None:
        self._directory.record_cache_events(events, self._clock.monotonic_s())
