"""Responses that are kept until they are known to be whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.held_responses import HeldResponses

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.ports.attempt_runner import AttemptEvent


class BrokenOffError(Exception):
    """The attempt of a test ends without its last part."""


async def attempt(
    chunk_count: int, *, breaks_off: bool = False
) -> AsyncGenerator[AttemptEvent, None]:
    yield AttemptHead(200, ())
    for _ in range(chunk_count):
        yield AttemptData(b'x' * 10)
    if breaks_off:
        raise BrokenOffError


async def test_a_response_that_breaks_off_is_not_passed_on() -> None:
    """Guards against beginnings of responses that can't be repeated."""
    held = HeldResponses()
    events = []
    with pytest.raises(BrokenOffError):
        async for event in held.hold(attempt(3, breaks_off=True)):
            events.append(event)
    assert not events
    assert held.used_bytes == 0


async def test_all_held_responses_share_one_bound() -> None:
    """Guards against many large responses that fill a process's memory.

    Load: a response of 10 bytes more than all may hold, beside one that is
    held already.
    """
    held = HeldResponses(max_response_bytes=1_000, max_total_bytes=50)
    held.used_bytes = 30
    events = held.hold(attempt(100))
    assert isinstance(await anext(events), AttemptHead)
    assert held.used_bytes <= 30 + 30
    count = sum([1 async for _ in events])
    assert count == 100
    assert held.used_bytes == 30
