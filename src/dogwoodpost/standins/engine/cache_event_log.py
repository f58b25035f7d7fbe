"""Numbered log of prefix cache changes."""

from __future__ import annotations

from collections import deque

import msgspec

from dogwoodpost.ports.endpoint_client import CacheEventBatch


class CacheEvent(msgspec.Struct, frozen=True):
    """One block that was stored or evicted."""

    sequence: int
    block: int
    is_stored: bool


class CacheEventLog:
    """Keeps the latest events; a reader that is too far behind starts anew."""

    def __init__(self, max_count: int, first_sequence: int = 0) -> None:
        self._max_count = max_count
        self._events: deque[CacheEvent] = deque()
        self._last_sequence = first_sequence
        # A reader that has this number or a later one needs no snapshot.
        self._complete_after = first_sequence

    def append(self, block: int, *, is_stored: bool) -> None:
        """Number an event and keep it."""
        self._last_sequence += 1
        self._events.append(CacheEvent(self._last_sequence, block, is_stored))
        if len(self._events) > self._max_count:
            self._complete_after = self._events.popleft().sequence

    def drop(self) -> None:
        """Number an event without keeping it; readers see a gap."""
        self._last_sequence += 1

    def reset(self) -> None:
        """Make every reader start anew from a snapshot."""
        self._last_sequence += 1
        self._complete_after = self._last_sequence
        self._events.clear()

    def page(self, after: int, snapshot: tuple[int, ...]) -> CacheEventBatch:
        """Return the next events without a gap, or a snapshot."""
        if not self._complete_after <= after <= self._last_sequence:
            return CacheEventBatch(
                first_sequence=self._last_sequence + 1,
                last_sequence=self._last_sequence,
                stored=snapshot,
                cleared=True,
            )
        run = self._run_after(after)
        first = run[0].sequence if run else after + 1
        return CacheEventBatch(
            first_sequence=first,
            last_sequence=run[-1].sequence if run else after,
            stored=tuple(item.block for item in run if item.is_stored),
            evicted=tuple(item.block for item in run if not item.is_stored),
        )

    def _run_after(self, after: int) -> list[CacheEvent]:
        """Return consecutive events in which no block occurs twice.

        A page does not tell the order of stored and evicted blocks.
        """
        run: list[CacheEvent] = []
        blocks: set[int] = set()
        for event in self._events:
            if event.sequence <= after:
                continue
            if event.block in blocks:
                break
            if run and event.sequence != run[-1].sequence + 1:
                break
            run.append(event)
            blocks.add(event.block)
        return run
