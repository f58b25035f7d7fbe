"""An event loop whose time jumps to the next timer."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from dogwoodpost.ports.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

_Result = TypeVar('_Result')


class VirtualLoop(asyncio.SelectorEventLoop):
    """Skips waiting; only for code that does no I/O."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        super().__init__()

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def _run_once(self) -> None:
        # ``_run_once`` and its two queues are internals of asyncio's base
        # loop; there is no public way to replace its waiting.
        loop: Any = self
        if not loop._ready and loop._scheduled:
            when_s = loop._scheduled[0].when()
            self.now_s = max(self.now_s, when_s)
        super()._run_once()  # type: ignore[misc]


class LoopClock(Clock):
    """Time of the running event loop."""

    def monotonic_s(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def wall_s(self) -> float:
        """Return the loop's time, which is not the wall clock's."""
        return self.monotonic_s()

    async def sleep(self, duration_s: float) -> None:
        """Wait on the loop."""
        await asyncio.sleep(duration_s)


def run_virtually(main: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end on a virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
