"""In-memory lease that follows the contract of ``ports.lease_guard``."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.ports.lease_guard import LeaseGuard
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write

if TYPE_CHECKING:
    from dogwoodpost.standins.memory_store import MemoryTableStore
    from dogwoodpost.standins.virtual_clock import VirtualClock

DURATION_S = 10.0
MARGIN_S = 3.0


class FakeGuard(LeaseGuard):
    """One tenure of a lease; it stays invalid once it has expired."""

    def __init__(
        self, lease: FakeLease, number: int, version: int, expiry_s: float
    ) -> None:
        self._lease = lease
        self._number = ids.FencingNumber(number)
        self._version = version
        self.expiry_s = expiry_s

    @property
    def is_held(self) -> bool:
        now_s = self._lease.clock.monotonic_s()
        return now_s < self.expiry_s - MARGIN_S

    def renew(self) -> None:
        if self.is_held:
            self.expiry_s = self._lease.clock.monotonic_s() + DURATION_S
            self._lease.free_at_s = self.expiry_s

    def fencing_number(self) -> ids.FencingNumber:
        if not self.is_held:
            raise LeaseLostError(f'{self._number} has expired')
        return self._number

    def fence_check(self) -> Check:
        self.fencing_number()
        return Check(self._lease.key, self._version)


class FakeLease:
    """Lease that has one holder at a time."""

    def __init__(self, store: MemoryTableStore, clock: VirtualClock) -> None:
        self.clock = clock
        self.key = 'lease/shard/fence'
        self.free_at_s = 0.0
        self._store = store
        self._numbers = itertools.count(1)

    async def take(self) -> FakeGuard | None:
        """Acquire the lease if the previous tenure has expired."""
        now_s = self.clock.monotonic_s()
        if now_s < self.free_at_s:
            return None
        number = next(self._numbers)
        row = self._store.rows.get(self.key)
        versions = await self._store.commit(
            ids.OperationId(f'lease/{number}'),
            [Check(self.key, row.version if row else 0)],
            [Write(self.key, str(number).encode())],
        )
        self.free_at_s = now_s + DURATION_S
        return FakeGuard(self, number, versions[self.key], self.free_at_s)
