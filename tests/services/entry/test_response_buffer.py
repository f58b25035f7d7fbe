"""Responses that are buffered until they are complete."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.response_buffer import ResponseBuffer

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.ports.attempt_runner import AttemptEvent


class InterruptedAttemptError(Exception):
    """Ends an attempt before its response is complete."""


async def attempt(
    chunk_count: int, *, is_interrupted: bool = False
) -> AsyncGenerator[AttemptEvent, None]:
    yield AttemptHead(200, ())
    for _ in range(chunk_count):
        yield AttemptData(b'x' * 10)
    if is_interrupted:
        raise InterruptedAttemptError


async def test_interrupted_response_is_not_forwarded() -> None:
    """Guards against forwarding the start of an interrupted response.

    Once a part of it is forwarded, the request can't be retried.
    """
    buffer = ResponseBuffer()
    events = []
    with pytest.raises(InterruptedAttemptError):
        async for event in buffer.buffer(attempt(3, is_interrupted=True)):
            events.append(event)
    assert not events
    assert buffer.used_bytes == 0


async def test_all_responses_share_one_memory_limit() -> None:
    """Guards against many large responses that exhaust the memory.

    30 of the 50 bytes for all responses are already in use, and the response
    exceeds the limit by 10 bytes before it is forwarded as it arrives.
    """
    buffer = ResponseBuffer(max_response_bytes=1_000, max_total_bytes=50)
    buffer.used_bytes = 30
    events = buffer.buffer(attempt(100))
    assert isinstance(await anext(events), AttemptHead)
    assert buffer.used_bytes <= 30 + 30
    count = sum([1 async for _ in events])
    assert count == 100
    assert buffer.used_bytes == 30
