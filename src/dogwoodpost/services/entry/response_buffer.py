"""Buffer of responses that are forwarded only once complete."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

from dogwoodpost.ports.attempt_runner import AttemptData

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.ports.attempt_runner import AttemptEvent

_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_MAX_TOTAL_BYTES = 32 * 1024 * 1024


class ResponseBuffer:
    """Buffers responses within a memory limit that all of them share.

    A response that exceeds its own or the shared limit is forwarded as it
    arrives, and can't be retried any more if it is interrupted.

    :param max_response_bytes: limit on one response.
    :param max_total_bytes: limit on all responses together.
    """

    def __init__(
        self,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        max_total_bytes: int = _MAX_TOTAL_BYTES,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._max_total_bytes = max_total_bytes
        self.used_bytes = 0

    async def buffer(
        self, attempt: AsyncGenerator[AttemptEvent, None]
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the events of an attempt once it has ended.

        Once a limit is exceeded, the events are yielded as they arrive.
        """
        events: list[AttemptEvent] = []
        buffered_bytes = 0
        async with aclosing(attempt):
            try:
                async for event in attempt:
                    events.append(event)
                    if isinstance(event, AttemptData):
                        buffered_bytes += len(event.data)
                        self.used_bytes += len(event.data)
                    if self._exceeds_limit(buffered_bytes):
                        break
                for event in events:
                    yield event
            finally:
                events.clear()
                self.used_bytes -= buffered_bytes
            async for event in attempt:
                yield event

    def _exceeds_limit(self, buffered_bytes: int) -> bool:
        if buffered_bytes > self._max_response_bytes:
            return True
        return self.used_bytes > self._max_total_bytes
