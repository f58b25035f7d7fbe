"""Runs attempts through the agents of their endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.core.attempts.entry_attempt import EntryAttempt
from dogwoodpost.core.attempts.entry_attempt import EntryAttemptState
from dogwoodpost.core.membership.peer_liveness import SILENCE_S
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptRunner

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts.entry_attempt import Output
    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.membership.agent_registry import LostAgent
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.entry.agent_directory import AgentDirectory

# An idempotent request is better retried elsewhere than kept waiting for an
# agent that a new connection did not reach either.
GIVE_UP_S = 2 * SILENCE_S


class RunningAttempt:
    """An attempt and the agent that it is addressed to."""

    def __init__(self, endpoint: Endpoint, spec: AttemptSpec, now_s: float):
        self.endpoint = endpoint
        self.idempotent = spec.idempotent
        self.changed = asyncio.Event()
        self.was_sent = False
        self.state = EntryAttempt(
            spec.attempt_id,
            endpoint.agent_incarnation,
            now_s + spec.timeout_s,
            now_s,
        )


class PeerAttemptRunner(AttemptRunner):
    """Sends attempts to agents and puts their output in order."""

    def __init__(
        self,
        transport: PeerTransport,
        directory: AgentDirectory,
        sender: Sender,
        clock: Clock,
    ) -> None:
        self._transport = transport
        self._directory = directory
        self._sender = sender
        self._clock = clock
        self._running: dict[ids.AttemptId, RunningAttempt] = {}
        self._open_tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the head, the body and the end of the response."""
        attempt = RunningAttempt(endpoint, spec, self._clock.monotonic_s())
        self._running[spec.attempt_id] = attempt
        try:
            await self._start(attempt, spec)
            while attempt.state.state is EntryAttemptState.OPEN:
                await attempt.changed.wait()
                attempt.changed.clear()
                for output in attempt.state.take():
                    yield _event(output)
            self._raise_failure(attempt)
        finally:
            del self._running[spec.attempt_id]
            self._finish(attempt)

    def handle(self, message: messages.Message) -> None:
        """Take a message of an agent that belongs to an attempt."""
        attempt_id: ids.AttemptId = message.attempt_id  # type: ignore[attr-defined]
        attempt = self._running.get(attempt_id)
        if attempt is None:
            return
        attempt.state.handle(message, self._clock.monotonic_s())
        attempt.changed.set()

    def lose_agent(self, lost: LostAgent) -> None:
        """Give up the attempts of an incarnation that has ended."""
        for attempt in self._running.values():
            endpoint = attempt.endpoint
            if (endpoint.agent_id, endpoint.agent_incarnation) == (
                lost.agent_id,
                lost.incarnation,
            ):
                attempt.state.give_up('the agent has restarted')
                attempt.changed.set()

    def fetch_from_agent(self, agent_id: ids.ProcessId) -> None:
        """Fetch an agent's attempts over its new connection."""
        now_s = self._clock.monotonic_s()
        for attempt in self._running.values():
            if attempt.endpoint.agent_id == agent_id:
                attempt.state.fetch_soon(now_s)

    def tick(self) -> None:
        """Fetch what is missing and give up what can't be learned."""
        now_s = self._clock.monotonic_s()
        for attempt in self._running.values():
            if not attempt.was_sent:
                continue
            self._give_up_if_due(attempt, now_s)
            if attempt.state.fetch_if_due(now_s):
                self._send_soon(attempt, self._fetch_message(attempt, now_s))

    async def close(self) -> None:
        """Wait for the messages that are being sent."""
        if self._open_tasks:
            await asyncio.wait(self._open_tasks)

    async def _start(self, attempt: RunningAttempt, spec: AttemptSpec) -> None:
        endpoint = attempt.endpoint
        start = messages.StartAttempt(
            **self._sender.fields(),
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
            heard_sequence=self._directory.heard_sequence(endpoint.agent_id),
        )
        try:
            await self._transport.send(endpoint.agent_address, start)
        except TransportError as error:
            attempt.state.not_sent()
            raise AttemptNotRunError(None, str(error)) from error
        attempt.was_sent = True

    def _give_up_if_due(self, attempt: RunningAttempt, now_s: float) -> None:
        state = attempt.state
        if now_s >= state.deadline_s:
            state.give_up('the deadline has passed')
        elif attempt.idempotent:
            agent = self._directory.agent(attempt.endpoint.agent_id)
            if agent is None or agent.liveness.silence_s(now_s) >= GIVE_UP_S:
                state.give_up('the agent does not answer')
        if state.state is EntryAttemptState.UNKNOWN:
            attempt.changed.set()

    def _fetch_message(
        self, attempt: RunningAttempt, now_s: float
    ) -> messages.FetchAttempt:
        return messages.FetchAttempt(
            **self._sender.fields(),
            attempt_id=attempt.state.attempt_id,
            remaining_ms=attempt.state.remaining_ms(now_s),
            next_index=attempt.state.next_index,
            agent_incarnation=attempt.endpoint.agent_incarnation,
        )

    def _raise_failure(self, attempt: RunningAttempt) -> None:
        state = attempt.state
        if state.state is EntryAttemptState.UNKNOWN:
            raise AttemptOutcomeUnknownError(state.detail)
        if state.state is EntryAttemptState.NOT_RUN:
            refusal = state.refusal
            if refusal is None:
                raise AttemptNotRunError(None, state.detail)
            retry_after_s = None
            if refusal.retry_after_ms is not None:
                retry_after_s = refusal.retry_after_ms / 1000
            raise AttemptNotRunError(
                refusal.reason,
                f'the agent refused: {refusal.reason.value}',
                retry_after_s,
            )

    def _finish(self, attempt: RunningAttempt) -> None:
        """Acknowledge a whole response, or cancel what may still run."""
        attempt_id = attempt.state.attempt_id
        if attempt.state.state is EntryAttemptState.ENDED:
            message: messages.AnyMessage = messages.AcknowledgeAttempt(
                **self._sender.fields(), attempt_id=attempt_id
            )
        elif attempt.state.state is EntryAttemptState.NOT_RUN:
            return
        else:
            now_s = self._clock.monotonic_s()
            message = messages.CancelAttempt(
                **self._sender.fields(),
                attempt_id=attempt_id,
                remaining_ms=attempt.state.remaining_ms(now_s),
            )
        self._send_soon(attempt, message)

    def _send_soon(
        self, attempt: RunningAttempt, message: messages.AnyMessage
    ) -> None:
        task = asyncio.ensure_future(
            self._send(attempt.endpoint.agent_address, message)
        )
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        try:
            await self._transport.send(address, message)
        except TransportError:
            # Fetches are repeated; a lost cancel or acknowledgement only
            # costs memory until the deadline.
            return


def _event(output: Output) -> AttemptEvent:
    if isinstance(output, messages.ResponseHead):
        return AttemptHead(output.status, output.headers)
    if isinstance(output, messages.ResponseChunk):
        return AttemptData(output.data)
    return AttemptEnd(
        outcome=output.outcome,
        detail=output.detail,
        weight_versions=output.weight_versions,
        prompt_tokens=output.prompt_tokens,
        cached_tokens=output.cached_tokens,
        completion_tokens=output.completion_tokens,
    )
