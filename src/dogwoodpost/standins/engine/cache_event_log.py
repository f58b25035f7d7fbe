"""Log of prefix cache changes with sequence numbers."""

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
    """Keeps the latest events.

    A reader whose position is no longer in the log gets a snapshot.
    """

    def __init__(self, max_count: int, first_sequence: int = 0) -> None:
        self._max_count = max_count
        self._events: deque[CacheEvent] = deque()
        self._last_sequence = first_sequence
        # Readers that have read up to this number or further need no snapshot.
        self._oldest_resumable_sequence = first_sequence

    def append(self, block: int, *, is_stored: bool) -> None:
        """Append an event with the next sequence number."""
        self._last_sequence += 1
        self._events.append(CacheEvent(self._last_sequence, block, is_stored))
        if len(self._events) > self._max_count:
            self._oldest_resumable_sequence = self._events.popleft().sequence

    def drop(self) -> None:
        """Skip a sequence number, as for a lost event; readers see a gap."""
        self._last_sequence += 1

    def reset(self) -> None:
        """Drop all events, so that every reader gets a snapshot."""
        self._last_sequence += 1
        self._oldest_resumable_sequence = self._last_sequence
        self._events.clear()

    def page(self, after: int, snapshot: tuple[int, ...]) -> CacheEventBatch:
        """Return the next events in sequence, or a snapshot.

        :param after: the last sequence number that the reader has.
        :param snapshot: the blocks that are cached at present.
        """
        if not self._oldest_resumable_sequence <= after <= self._last_sequence:
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

        A page lists stored and evicted blocks separately, so it cannot express
        the order of two events of the same block.
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
