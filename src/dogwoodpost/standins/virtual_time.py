"""Event loop and clock on virtual time.

A program that sleeps for minutes runs in moments, and always in the same
order. Only for programs without sockets.
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
    """Advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once, after the time-out has passed virtually."""
        if timeout is None:
            raise RuntimeError('the program waits for nothing that can happen')
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only when all tasks wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s


class HostClock(Clock):
    """Clock of one simulated host, on the running loop's time.

    :param rate: seconds that this clock counts per second of true time.
    """

    def __init__(self, rate: float = 1.0, offset_s: float = 0.0) -> None:
        self._rate = rate
        self._offset_s = offset_s

    def monotonic_s(self) -> float:
        """Return the host's seconds."""
        true_s = asyncio.get_running_loop().time()
        return self._offset_s + true_s * self._rate

    def wall_s(self) -> float:
        """Return the host's seconds, as if since the Unix epoch."""
        return self.monotonic_s()

    async def sleep(self, duration_s: float) -> None:
        """Wait for a duration of the host's seconds."""
        await asyncio.sleep(duration_s / self._rate)


def run_virtual(program: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a program on virtual time to its end."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(program)
