"""One attempt at an endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.endpoint_client import EndpointRequest
from dogwoodpost.services.agent.usage_reader import UsageReader

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.messages import AttemptOutcome
    from dogwoodpost.services.agent.endpoint_slot import EndpointSlot

# Paths whose event streams end with ``data: [DONE]``.
ENGINE_PATHS = frozenset({'/v1/completions', '/v1/chat/completions'})


class AttemptRun:
    """Calls the endpoint and turns its response into messages."""

    def __init__(
        self,
        slot: EndpointSlot,
        start: messages.StartAttempt,
        sender: Sender,
    ) -> None:
        self.slot = slot
        self.attempt_id = start.attempt_id
        self._start = start
        self._sender = sender
        self._reader: UsageReader | None = None
        self._chunk_count = 0

    async def output(
        self,
    ) -> AsyncIterator[messages.ResponseHead | messages.ResponseChunk]:
        """Yield the head and the chunks.

        :raises EndpointError: the endpoint failed.
        :raises TimeoutError: the deadline has passed.
        """
        remaining_s = self._start.remaining_ms / 1000
        async with asyncio.timeout(remaining_s):
            call = self.slot.client.call(self._request(remaining_s))
            async with call as response:
                self._reader = UsageReader(response.headers)
                yield messages.ResponseHead(
                    **self._sender.fields(),
                    attempt_id=self.attempt_id,
                    status=response.status,
                    headers=response.headers,
                )
                async for data in response.chunks():
                    self._reader.feed(data)
                    yield self._chunk(data)
        self._check_end()

    def end(
        self, outcome: AttemptOutcome, detail: str
    ) -> messages.ResponseEnd:
        """Return the end mark."""
        mark = messages.ResponseEnd(
            **self._sender.fields(),
            attempt_id=self.attempt_id,
            chunk_count=self._chunk_count,
            outcome=outcome,
            detail=detail,
        )
        if self._reader is None:
            return mark
        return self._reader.summary().fill(mark)

    def _request(self, remaining_s: float) -> EndpointRequest:
        start = self._start
        return EndpointRequest(
            request_id=start.attempt_id,
            method=start.method,
            path=start.path,
            headers=start.headers,
            body=start.body,
            timeout_s=remaining_s,
            priority=start.priority,
        )

    def _chunk(self, data: bytes) -> messages.ResponseChunk:
        chunk = messages.ResponseChunk(
            **self._sender.fields(),
            attempt_id=self.attempt_id,
            index=self._chunk_count,
            data=data,
        )
        self._chunk_count += 1
        return chunk

    def _check_end(self) -> None:
        path = self._start.path.partition('?')[0]
        if path not in ENGINE_PATHS or self._reader is None:
            return
        if not self._reader.is_whole:
            raise EndpointError('the event stream has no end mark')
