"""Runs attempts at the endpoints and sends their output."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import messages
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError
from dogwoodpost.services.agent.attempt_run import AttemptRun

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts.agent_attempts import AgentAttempts
    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.membership.entry_registry import EntryRegistry
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.agent.endpoint_slot import EndpointSlot

DRAIN_POLL_S = 0.05

_logger = structlog.get_logger(__name__)


class AttemptExecutor:
    """Runs each accepted attempt in a task of its own."""

    def __init__(
        self,
        *,
        attempts: AgentAttempts,
        slots: Mapping[ids.EndpointId, EndpointSlot],
        entries: EntryRegistry,
        transport: PeerTransport,
        sender: Sender,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.leaving = False
        self._attempts = attempts
        self._slots = slots
        self._entries = entries
        self._transport = transport
        self._sender = sender
        self._clock = clock
        self._metrics = metrics
        self._tasks: dict[ids.AttemptId, asyncio.Task[None]] = {}
        self._resends: set[ids.AttemptId] = set()
        self._sends: set[asyncio.Task[None]] = set()

    def start(self, message: messages.StartAttempt) -> None:
        """Run an attempt, refuse it, or ignore a copy."""
        slot = self._slots.get(message.endpoint_id)
        decision = self._attempts.start(
            message, self._clock.monotonic_s(), self._refusal(slot)
        )
        if decision.run and slot is not None:
            slot.running_count += 1
            run = AttemptRun(slot, message, self._sender)
            task = asyncio.ensure_future(self._work(run))
            self._tasks[run.attempt_id] = task
            task.add_done_callback(partial(self._finish, run))
        elif decision.replies:
            self._count_refusals(decision.replies)
            self._start(
                self._send_all(message.sender_address, decision.replies)
            )

    def fetch(self, message: messages.FetchAttempt) -> None:
        """Send the output of an attempt again, one fetch at a time."""
        replies = self._attempts.fetch(message, self._clock.monotonic_s())
        if message.attempt_id not in self._resends:
            self._resends.add(message.attempt_id)
            self._start(self._resend(message, replies))

    def cancel(self, message: messages.CancelAttempt) -> None:
        """Cancel an attempt that its entry no longer wants."""
        if self._attempts.cancel(message, self._clock.monotonic_s()):
            self._tasks[message.attempt_id].cancel()

    def acknowledge(self, message: messages.AcknowledgeAttempt) -> None:
        """Drop the output of an attempt."""
        self._attempts.acknowledge(message.attempt_id)

    def tick(self) -> None:
        """Forget expired ids and cancel attempts of dead entries."""
        now_s = self._clock.monotonic_s()
        self._attempts.expire(now_s)
        for attempt_id, task in self._tasks.items():
            record = self._attempts.record(attempt_id)
            if record is None or not record.idempotent:
                continue
            if self._entries.is_dead(
                record.entry_address, record.entry_id, now_s
            ):
                self._metrics.events.labels('attempt_of_dead_entry').inc()
                task.cancel()

    async def drain(self, end_s: float) -> None:
        """Let attempts finish and their entries have the output.

        :param end_s: the attempts that still run then are cancelled.
        """
        while self._has_wanted_output():
            if self._clock.monotonic_s() >= end_s:
                _logger.warning('drain_timeout', running=len(self._tasks))
                break
            await self._clock.sleep(DRAIN_POLL_S)
        await self._cancel_all()

    async def _cancel_all(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        while self._tasks or self._sends:
            await asyncio.wait({*self._tasks.values(), *self._sends})

    def _has_wanted_output(self) -> bool:
        if self._tasks or self._sends:
            return True
        now_s = self._clock.monotonic_s()
        return any(
            not self._entries.is_dead(
                record.entry_address, record.entry_id, now_s
            )
            for record in self._attempts.held()
        )

    def _refusal(self, slot: EndpointSlot | None) -> RefusalReason | None:
        if slot is None:
            return RefusalReason.UNKNOWN_ENDPOINT
        if self.leaving:
            return RefusalReason.DRAINING
        return slot.refusal()

    async def _work(self, run: AttemptRun) -> None:
        async for message in run.output():
            if isinstance(message, messages.ResponseHead):
                self._attempts.add_head(message)
            else:
                self._attempts.add_chunk(message)
            await self._send_output(run.attempt_id, message)

    def _finish(self, run: AttemptRun, task: asyncio.Task[None]) -> None:
        run.slot.running_count -= 1
        del self._tasks[run.attempt_id]
        outcome, detail = _outcome(task)
        end = run.end(outcome, detail)
        self._attempts.end(end)
        self._metrics.events.labels(f'attempt_{outcome.value}').inc()
        self._start(self._send_output(run.attempt_id, end))
        if outcome is not AttemptOutcome.COMPLETED:
            self._start(run.slot.client.cancel(run.attempt_id))

    async def _send_output(
        self, attempt_id: ids.AttemptId, message: messages.AnyMessage
    ) -> None:
        """Send output, unless its entry is silent and will fetch it."""
        record = self._attempts.record(attempt_id)
        if record is None or not record.is_wanted:
            return
        entry = self._entries.entry(record.entry_address)
        now_s = self._clock.monotonic_s()
        if entry is None or entry.liveness.is_live(now_s):
            await self._send_all(record.entry_address, (message,))

    async def _resend(
        self,
        message: messages.FetchAttempt,
        replies: Iterable[messages.AnyMessage],
    ) -> None:
        try:
            await self._send_all(message.sender_address, replies)
        finally:
            self._resends.discard(message.attempt_id)

    async def _send_all(
        self, address: str, replies: Iterable[messages.AnyMessage]
    ) -> None:
        try:
            for reply in replies:
                await self._transport.send(address, reply)
        except TransportError as error:
            # The entry fetches what it lacks.
            _logger.info('reply_not_sent', address=address, error=str(error))

    def _count_refusals(self, replies: Iterable[messages.AnyMessage]) -> None:
        for reply in replies:
            if isinstance(reply, messages.AttemptRefused):
                self._metrics.refusals.labels(reply.reason.value).inc()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)


def _outcome(task: asyncio.Task[None]) -> tuple[AttemptOutcome, str]:
    """Return how the task of an attempt has ended."""
    if task.cancelled():
        return AttemptOutcome.CANCELLED, 'cancelled'
    error = task.exception()
    if error is None:
        return AttemptOutcome.COMPLETED, ''
    if isinstance(error, TimeoutError):
        return AttemptOutcome.DEADLINE_PASSED, 'the deadline has passed'
    if not isinstance(error, EndpointError):
        _logger.error('attempt_failed', exc_info=error)
    return AttemptOutcome.ENDPOINT_FAILED, str(error) or repr(error)
