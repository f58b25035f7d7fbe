"""Clock of tests in which no call waits."""

from __future__ import annotations

from dogwoodpost.standins.virtual_clock import VirtualClock


class ImmediateClock(VirtualClock):
    """Advances the virtual time at once when a call sleeps."""

    async def sleep(self, duration_s: float) -> None:
        await self.advance(duration_s)
