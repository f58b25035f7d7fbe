"""Event loop and clock on virtual time.

A program that sleeps for minutes finishes within moments, and its tasks
always run in the same order. Programs that use sockets are not supported.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from dogwoodpost.ports.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

_Result = TypeVar('_Result')


class _VirtualSelector(selectors.SelectSelector):
    """Selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the time-out and return at once.

        :raises RuntimeError: no timer is scheduled, so no task can proceed.
        """
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only while all tasks wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class HostClock(Clock):
    """Clock of one simulated host, derived from the running loop's time.

    :param rate: seconds of this clock per second of the loop's time.
    :param offset_s: seconds that this clock shows at time 0 of the loop.
    """

    def __init__(self, rate: float = 1.0, offset_s: float = 0.0) -> None:
        self._rate = rate
        self._offset_s = offset_s

    def monotonic_s(self) -> float:
        """Return the host's time in seconds."""
        loop_s = asyncio.get_running_loop().time()
        return self._offset_s + loop_s * self._rate

    def wall_s(self) -> float:
        """Return the host's time in seconds, taken as Unix time."""
        return self.monotonic_s()

    async def sleep(self, duration_s: float) -> None:
        """Wait for a duration in seconds of the host's clock."""
        await asyncio.sleep(duration_s / self._rate)


def run_virtual(program: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a program to its end on a loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(program)
