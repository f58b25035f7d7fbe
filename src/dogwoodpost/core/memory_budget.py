"""Memory that the parts of a process may use together."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from dogwoodpost.errors import MemoryExceededError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


class MemoryBudget:
    """Limits the memory of what is reserved in it.

    :param max_bytes: limit on all reservations together.
    :param parent: budget that the reservations count in too.
    """

    def __init__(
        self, max_bytes: int, parent: MemoryBudget | None = None
    ) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self._parent = parent
        self._reclaimers: list[Callable[[int], None]] = []

    def part(self, max_bytes: int) -> MemoryBudget:
        """Return a budget with a limit of its own within this one."""
        return MemoryBudget(max_bytes, self)

    def add_reclaimer(self, reclaim: Callable[[int], None]) -> None:
        """Add a cache that gives way to other uses.

        :param reclaim: called with the bytes that are missing; it releases
            what it can.
        """
        self._reclaimers.append(reclaim)

    @contextmanager
    def reservation(self) -> Iterator[MemoryReservation]:
        """Yield an empty reservation and release it after the block."""
        reservation = MemoryReservation(self)
        try:
            yield reservation
        finally:
            reservation.release()

    def take(self, size_bytes: int) -> None:
        """Count memory as used; for reservations.

        :raises MemoryExceededError: it would exceed a limit.
        """
        for reclaim in self._reclaimers:
            missing_bytes = self.used_bytes + size_bytes - self.max_bytes
            if missing_bytes > 0:
                reclaim(missing_bytes)
        if self.used_bytes + size_bytes > self.max_bytes:
            raise MemoryExceededError(
                f'{size_bytes} bytes more than the {self.used_bytes} bytes in '
                f'use would exceed the limit of {self.max_bytes} bytes'
            )
        if self._parent is not None:
            self._parent.take(size_bytes)
        self.used_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Count memory as free; for reservations."""
        self.used_bytes -= size_bytes
        if self._parent is not None:
            self._parent.give_back(size_bytes)


class MemoryReservation:
    """Memory of one use; it grows and shrinks with it."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def grow(self, size_bytes: int) -> None:
        """Reserve more memory.

        :raises MemoryExceededError: it would exceed a limit.
        """
        self._budget.take(size_bytes)
        self.size_bytes += size_bytes

    def resize(self, size_bytes: int) -> None:
        """Change the size.

        :raises MemoryExceededError: it would exceed a limit; the size stays.
        """
        if size_bytes > self.size_bytes:
            self.grow(size_bytes - self.size_bytes)
        else:
            self._budget.give_back(self.size_bytes - size_bytes)
            self.size_bytes = size_bytes

    def release(self) -> None:
        """Free the memory; a repeat has no effect."""
        self._budget.give_back(self.size_bytes)
        self.size_bytes = 0

    def moved(self) -> MemoryReservation:
        """Return a reservation that takes over the memory of this one."""
        other = MemoryReservation(self._budget)
        other.size_bytes = self.size_bytes
        self.size_bytes = 0
        return other
