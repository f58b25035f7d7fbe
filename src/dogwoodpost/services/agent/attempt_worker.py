"""Runs attempts at endpoints and sends their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.attempts import ResponseTooLargeError
from dogwoodpost.core.attempts.response_usage import ENGINE_PATHS
from dogwoodpost.core.attempts.response_usage import ResponseUsage
from dogwoodpost.core.http_headers import is_event_stream
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.streams import EventScanner
from dogwoodpost.core.streams import requested_resume_point
from dogwoodpost.core.streams import StreamRun
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.endpoint_client import EndpointRequest
from dogwoodpost.services.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.attempts import AgentAttempts
    from dogwoodpost.core.attempts import AttemptKey
    from dogwoodpost.core.attempts import AttemptRecord
    from dogwoodpost.core.http_headers import Headers
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_client import EndpointClient
    from dogwoodpost.ports.endpoint_client import EndpointResponse
    from dogwoodpost.ports.peer_transport import PeerTransport

_log = structlog.get_logger(__name__)
# Endpoints that receive the timeout give up shortly before it, so a failure in
# this margin counts as a passed deadline.
_DEADLINE_MARGIN_S = 0.05
_CLOSE_TIMEOUT_S = 1.0
_MAX_JSON_BODY_BYTES = 16 * 1024 * 1024


class AttemptWorker:
    """Runs each attempt in a task of its own."""

    def __init__(
        self,
        attempts: AgentAttempts,
        clients: Mapping[ids.EndpointId, EndpointClient],
        transport: PeerTransport,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._attempts = attempts
        self._clients = clients
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._relays: dict[AttemptKey, asyncio.Task[ResponseUsage]] = {}
        self._background = BackgroundTasks()

    def start(
        self, record: AttemptRecord, message: messages.StartAttempt
    ) -> None:
        """Run an accepted attempt in the background."""
        self._background.spawn(self._run(record, message))

    def cancel(self, record: AttemptRecord) -> None:
        """Stop a running attempt; its outcome is CANCELLED."""
        record.cancelled = True
        relay = self._relays.get(record.key)
        if relay is not None:
            relay.cancel()

    def send_in_background(
        self, address: str, parts: Iterable[messages.AnyMessage]
    ) -> None:
        """Send messages one after the other in the background."""
        self._background.spawn(self._send_in_order(address, tuple(parts)))

    async def close(self) -> None:
        """Cancel the running attempts and send their ends to the entries."""
        for relay in self._relays.values():
            relay.cancel()
        await self._background.wait(_CLOSE_TIMEOUT_S)
        await self._background.cancel()

    async def _run(
        self, record: AttemptRecord, message: messages.StartAttempt
    ) -> None:
        start_s = self._clock.monotonic_s()
        relay = asyncio.get_running_loop().create_task(
            self._relay(record, message)
        )
        self._relays[record.key] = relay
        if record.cancelled:
            relay.cancel()
        timeout_s = max(record.deadline_s - start_s, 0.0)
        try:
            await asyncio.wait({relay}, timeout=timeout_s)
            timed_out = not relay.done()
            if timed_out:
                relay.cancel()
                await asyncio.wait({relay})
        finally:
            del self._relays[record.key]
        end = self._finish(record, relay, timed_out)
        self._metrics.observe(
            'agent_attempt', self._clock.monotonic_s() - start_s
        )
        await self._send(record, end)
        if end.outcome is not AttemptOutcome.COMPLETED and _is_engine(message):
            client = self._clients[message.endpoint_id]
            await client.cancel(message.attempt_id)

    def _finish(
        self,
        record: AttemptRecord,
        relay: asyncio.Task[ResponseUsage],
        timed_out: bool,
    ) -> messages.ResponseEnd:
        finish = self._attempts.finish
        if timed_out and relay.cancelled():
            return finish(record, AttemptOutcome.DEADLINE_PASSED)
        if relay.cancelled():
            return finish(record, AttemptOutcome.CANCELLED)
        error = relay.exception()
        if error is None:
            usage = relay.result().fields()
            return finish(record, AttemptOutcome.COMPLETED, usage=usage)
        detail = str(error)
        left_s = record.deadline_s - self._clock.monotonic_s()
        if left_s <= _DEADLINE_MARGIN_S:
            return finish(record, AttemptOutcome.DEADLINE_PASSED, detail)
        if not isinstance(error, EndpointError | ResponseTooLargeError):
            _log.error('attempt_failed', exc_info=error)
            detail = 'internal error of the agent'
        return finish(record, AttemptOutcome.ENDPOINT_FAILED, detail)

    async def _relay(
        self, record: AttemptRecord, message: messages.StartAttempt
    ) -> ResponseUsage:
        request = EndpointRequest(
            request_id=message.attempt_id,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=message.body,
            timeout_s=message.remaining_ms / 1000,
            priority=message.priority,
        )
        client = self._clients[message.endpoint_id]
        async with client.call(request) as response:
            head = self._attempts.add_head(
                record, response.status, response.headers
            )
            await self._send(record, head)
            if _is_engine(message):
                return await self._relay_engine_body(record, response)
            return await self._relay_body(record, response, message.headers)

    async def _relay_engine_body(
        self, record: AttemptRecord, response: EndpointResponse
    ) -> ResponseUsage:
        is_stream = is_event_stream(response.headers)
        usage = ResponseUsage(
            is_stream=is_stream, max_body_bytes=_MAX_JSON_BODY_BYTES
        )
        async for data in response.chunks():
            usage.feed(data)
            await self._send(record, self._attempts.add_chunk(record, data))
        if is_stream and not usage.done_event_received:
            raise EndpointError('the stream ended without its end mark')
        return usage

    async def _relay_body(
        self,
        record: AttemptRecord,
        response: EndpointResponse,
        request_headers: Headers,
    ) -> ResponseUsage:
        """Relay a plain service's body; it reports no usage."""
        stream_run = StreamRun(
            after=requested_resume_point(request_headers),
            names_versions=None,
            must_be_stream=False,
        )
        stream_run.check_head(
            response.status,
            response.headers,
            None,
            ends_with_connection=response.ends_with_connection,
        )
        is_stream = is_event_stream(response.headers)
        scanner = EventScanner()
        async for data in response.chunks():
            if is_stream:
                scanner.feed(data)
            await self._send(record, self._attempts.add_chunk(record, data))
        if scanner.has_events:
            stream_run.note_event()
        stream_run.check_end()
        if response.ends_with_connection:
            scanner.check_end()
        return ResponseUsage(is_stream=is_stream, max_body_bytes=0)

    async def _send(
        self, record: AttemptRecord, message: messages.AnyMessage
    ) -> None:
        # After a failed send nothing more is pushed: the entry fetches the
        # missing parts, so a broken connection does not stall the endpoint.
        if not record.connected:
            return
        try:
            await self._transport.send(record.owner_address, message)
        except TransportError:
            record.connected = False

    async def _send_in_order(
        self, address: str, parts: tuple[messages.AnyMessage, ...]
    ) -> None:
        for part in parts:
            try:
                await self._transport.send(address, part)
            except TransportError:
                return


def _is_engine(message: messages.StartAttempt) -> bool:
    return message.path.partition('?')[0] in ENGINE_PATHS
