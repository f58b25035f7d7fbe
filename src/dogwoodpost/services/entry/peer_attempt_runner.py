"""Runs attempts through the agents of their endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.core.attempts import EntryAttempt
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptRunner
from dogwoodpost.services.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts import ResponsePart
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.entry.agent_directory import AgentDirectory
    from dogwoodpost.services.entry.agent_directory import KnownAgent


_CLOSE_TIMEOUT_S = 1.0


class _RunningAttempt:
    """An attempt, and the event that wakes the task that runs it."""

    def __init__(self, state: EntryAttempt, endpoint: Endpoint) -> None:
        self.state = state
        self.agent_id = endpoint.agent_id
        self.agent_address = endpoint.agent_address
        self.changed = asyncio.Event()


class PeerAttemptRunner(AttemptRunner):
    """Sends each attempt once to an agent and collects its response."""

    def __init__(
        self,
        identity: ProcessIdentity,
        transport: PeerTransport,
        directory: AgentDirectory,
        clock: Clock,
    ) -> None:
        self._sender = identity.sender_fields()
        self._transport = transport
        self._directory = directory
        self._clock = clock
        self._running: dict[ids.AttemptId, _RunningAttempt] = {}
        self._background = BackgroundTasks()

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        """Yield the head, the body and the end of the response.

        :raises AttemptNotRunError: the agent refused the attempt, or it was
            never handed to the transport.
        :raises AttemptOutcomeUnknownError: the agent cannot be reached or has
            restarted.
        """
        if spec.attempt_id in self._running:
            raise ValueError(f'attempt {spec.attempt_id} is already running')
        hello_sequence = self._hello_sequence(endpoint)
        state = EntryAttempt(
            spec.attempt_id,
            endpoint.agent_incarnation,
            spec.timeout_s,
            self._clock.monotonic_s(),
        )
        attempt = _RunningAttempt(state, endpoint)
        self._running[spec.attempt_id] = attempt
        try:
            await self._start(attempt, endpoint, spec, hello_sequence)
            while not state.done:
                attempt.changed.clear()
                for event in state.take_events():
                    yield event
                if not state.done:
                    await attempt.changed.wait()
            if state.error is not None:
                raise state.error
        finally:
            del self._running[spec.attempt_id]
            self._acknowledge_or_cancel(attempt)

    def receive(self, part: ResponsePart) -> None:
        """Process a part of a response; drop it if its attempt is unknown."""
        attempt = self._running.get(part.attempt_id)
        if attempt is None or part.sender_id != attempt.agent_id:
            return
        attempt.state.receive(part, self._clock.monotonic_s())
        attempt.changed.set()

    def agent_restarted(self, agent: KnownAgent) -> None:
        """Fail the attempts sent to earlier incarnations of an agent."""
        for attempt in self._attempts_of(agent):
            if attempt.state.agent_incarnation != agent.liveness.incarnation:
                attempt.state.agent_restarted()
                attempt.changed.set()

    def agent_gone(self, agent: KnownAgent) -> None:
        """Fail the attempts of an agent that stopped sending heartbeats."""
        for attempt in self._attempts_of(agent):
            attempt.state.agent_gone()
            attempt.changed.set()

    def agent_reconnected(self, agent: KnownAgent) -> None:
        """Fetch the attempts of an agent over its new connection."""
        for attempt in self._attempts_of(agent):
            self._fetch(attempt)

    def poll(self) -> None:
        """Fetch missing parts of responses, and fail overdue attempts."""
        now_s = self._clock.monotonic_s()
        for attempt in list(self._running.values()):
            if attempt.state.poll(now_s):
                self._fetch(attempt)
            if attempt.state.done:
                attempt.changed.set()

    async def close(self) -> None:
        """Wait for the last messages to be sent, up to a timeout."""
        await self._background.wait(_CLOSE_TIMEOUT_S)
        await self._background.cancel()

    def _hello_sequence(self, endpoint: Endpoint) -> int:
        agent = self._directory.find(endpoint.agent_id)
        if agent is None:
            raise AttemptNotRunError(None, 'the agent is not reachable')
        if agent.liveness.incarnation != endpoint.agent_incarnation:
            raise AttemptNotRunError(
                messages.RefusalReason.WRONG_INCARNATION,
                'the agent has restarted',
            )
        return agent.liveness.received_sequence

    async def _start(
        self,
        attempt: _RunningAttempt,
        endpoint: Endpoint,
        spec: AttemptSpec,
        hello_sequence: int,
    ) -> None:
        message = messages.StartAttempt(
            **self._sender,
            attempt_id=spec.attempt_id,
            agent_incarnation=endpoint.agent_incarnation,
            endpoint_id=endpoint.endpoint_id,
            client_account_id=spec.client_account_id,
            method=spec.method,
            path=spec.path,
            headers=spec.headers,
            body=spec.body,
            remaining_ms=int(spec.timeout_s * 1000),
            idempotent=spec.idempotent,
            priority=spec.priority,
            hello_sequence=hello_sequence,
        )
        try:
            await self._transport.send(endpoint.agent_address, message)
        except TransportError as error:
            attempt.state.done = True
            raise AttemptNotRunError(None, str(error)) from error

    def _acknowledge_or_cancel(self, attempt: _RunningAttempt) -> None:
        """Let the agent drop the attempt if it may still hold it."""
        state = attempt.state
        if isinstance(state.error, AttemptNotRunError):
            return
        message: messages.AnyMessage
        if state.completed:
            message = messages.AcknowledgeAttempt(
                **self._sender, attempt_id=state.attempt_id
            )
        elif state.done and state.error is None:
            return
        else:
            message = messages.CancelAttempt(
                **self._sender,
                attempt_id=state.attempt_id,
                remaining_ms=state.remaining_ms(self._clock.monotonic_s()),
            )
        self._send_in_background(attempt.agent_address, message)

    def _fetch(self, attempt: _RunningAttempt) -> None:
        state = attempt.state
        message = messages.FetchAttempt(
            **self._sender,
            attempt_id=state.attempt_id,
            remaining_ms=state.remaining_ms(self._clock.monotonic_s()),
            next_index=state.next_index,
            agent_incarnation=state.agent_incarnation,
        )
        self._send_in_background(attempt.agent_address, message)

    def _attempts_of(self, agent: KnownAgent) -> list[_RunningAttempt]:
        return [
            attempt
            for attempt in self._running.values()
            if attempt.agent_id == agent.process_id
        ]

    def _send_in_background(
        self, address: str, message: messages.AnyMessage
    ) -> None:
        self._background.spawn(self._send(address, message))

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        # A lost fetch is repeated. After a lost acknowledgement or
        # cancellation the agent keeps the attempt in memory until its
        # deadline.
        with contextlib.suppress(TransportError):
            await self._transport.send(address, message)
