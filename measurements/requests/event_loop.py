"""Event loop on virtual time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time, or for now if that has passed."""
        event = (max(time_s, self.now_s), next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now_s + delay_s, callback)

    def every(
        self, interval_s: float, until_s: float, callback: Callable[[], None]
    ) -> None:
        """Schedule a callback at regular intervals up to a time."""

        def tick() -> None:
            callback()
            if self.now_s + interval_s <= until_s:
                self.after(interval_s, tick)

        self.after(interval_s, tick)

    def run(self) -> None:
        """Run until no scheduled callback is left."""
        while self._events:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()
