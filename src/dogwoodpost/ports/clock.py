"""Port: clocks and delays."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """Reads the time and waits."""

    @abc.abstractmethod
    def monotonic_s(self) -> float:
        """Return seconds that also count while the host is suspended."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch; for usage windows only."""

    @abc.abstractmethod
    async def sleep(self, duration_s: float) -> None:
        """Wait for a duration in seconds."""
