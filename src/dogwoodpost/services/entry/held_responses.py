"""Responses that are kept until they are known to be whole."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

from dogwoodpost.ports.attempt_runner import AttemptData

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.ports.attempt_runner import AttemptEvent

_MAX_RESPONSE_BYTES = 4 * 1024 * 1024
_MAX_TOTAL_BYTES = 32 * 1024 * 1024


class HeldResponses:
    """Bounds the memory of all responses that are held back.

    Larger responses, and those beyond the bound of all, are passed on as they
    arrive: they can't be repeated any more if they break off.
    """

    def __init__(
        self,
        max_response_bytes: int = _MAX_RESPONSE_BYTES,
        max_total_bytes: int = _MAX_TOTAL_BYTES,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._max_total_bytes = max_total_bytes
        self.used_bytes = 0

    async def hold(
        self, attempt: AsyncGenerator[AttemptEvent, None]
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Yield an attempt's events only after its end, up to a size."""
        held: list[AttemptEvent] = []
        held_bytes = 0
        async with aclosing(attempt):
            try:
                async for event in attempt:
                    held.append(event)
                    if isinstance(event, AttemptData):
                        held_bytes += len(event.data)
                        self.used_bytes += len(event.data)
                    if self._is_full(held_bytes):
                        break
                for event in held:
                    yield event
            finally:
                held.clear()
                self.used_bytes -= held_bytes
            async for event in attempt:
                yield event

    def _is_full(self, held_bytes: int) -> bool:
        if held_bytes > self._max_response_bytes:
            return True
        return self.used_bytes > self._max_total_bytes
