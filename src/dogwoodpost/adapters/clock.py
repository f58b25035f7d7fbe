"""Clock of the operating system."""

from __future__ import annotations

import asyncio
import time

from dogwoodpost.ports.clock import Clock


class BoottimeClock(Clock):
    """Reads ``CLOCK_BOOTTIME``, which also counts during host suspend."""

    def monotonic_s(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        """Wait for a duration in seconds."""
        await asyncio.sleep(duration_s)
