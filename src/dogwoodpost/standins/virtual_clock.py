"""Clock that a test advances explicitly."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from dogwoodpost.ports.clock import Clock

# A resumed task may need several iterations of the event loop until it waits
# again.
_SETTLING_ITERATION_COUNT = 20


class VirtualClock(Clock):
    """Manual clock that wakes sleeping tasks in order of wake-up time."""

    def __init__(self, wall_offset_s: float = 0.0) -> None:
        self._now_s = 0.0
        self._wall_offset_s = wall_offset_s
        self._sequence_numbers = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the virtual time plus the offset of the wall clock."""
        return self._now_s + self._wall_offset_s

    async def sleep(self, duration_s: float) -> None:
        """Wait until the clock was advanced by a duration in seconds."""
        future = asyncio.get_running_loop().create_future()
        entry = (
            self._now_s + duration_s,
            next(self._sequence_numbers),
            future,
        )
        heapq.heappush(self._sleepers, entry)
        await future

    async def advance(self, duration_s: float) -> None:
        """Advance the time; each sleeping task runs at its wake-up time."""
        end_s = self._now_s + duration_s
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            wake_s, _, future = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, wake_s)
            if not future.done():
                future.set_result(None)
                await self.settle()
        self._now_s = end_s

    async def settle(self) -> None:
        """Run the event loop until all tasks wait again."""
        for _ in range(_SETTLING_ITERATION_COUNT):
            await asyncio.sleep(0)
