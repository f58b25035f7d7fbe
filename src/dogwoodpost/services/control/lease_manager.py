"""Keeps the leases that a process wants to hold."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import structlog
from mode import Service

from dogwoodpost.core import ids
from dogwoodpost.core.leases import Lease
from dogwoodpost.core.leases import LeaseAction
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.lease_guard import LeaseGuard

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dogwoodpost.core.leases import LeaseOperation
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import TableStore

TICK_S = 0.25
READ_INTERVAL_S = 1.0
# Processes that are not next in line read this many times less often. With 20
# processes that all read 30 leases each second, a node spent 6.8 KB/s.
MAX_INTERVAL_FACTOR = 8
MAX_RETRY_DELAY_S = 0.5
# A lower-ranked process leaves the others this much time per rank.
RANK_DELAY_S = 0.5
RELEASE_TRIES = 3

_logger = structlog.get_logger(__name__)


class ManagedLeaseGuard(LeaseGuard):
    """Guard of one shard's lease at this process."""

    def __init__(self, lease: Lease, clock: Clock) -> None:
        self._lease = lease
        self._clock = clock

    @property
    def shard(self) -> ids.ShardName:
        """Return the shard's name."""
        return self._lease.shard

    def is_held(self) -> bool:
        """Return whether an action may be begun now."""
        return self._lease.is_held(self._clock.monotonic_s())

    def fencing_number(self) -> ids.FencingNumber:
        """Return the number of the held lease."""
        return self._lease.begin_call(self._clock.monotonic_s())

    def fence_check(self) -> Check:
        """Return the check that fails a transaction after a takeover."""
        return self._lease.fence_check(self._clock.monotonic_s())


class LeaseManager(Service):
    """Acquires, renews and releases leases by shard name.

    :param tables: without retries of its own; the manager repeats an
        operation whose outcome is unknown, and counts its time from the first
        try.
    :param rank: place of this process among those that want a shard, from 0.
        It only spreads the leases; any process may take any lease.
    :param initial_takeover_delay_s: takes no lease of another process for so
        long; an earlier incarnation of this one may have held it just before.
    """

    def __init__(
        self,
        tables: TableStore,
        clock: Clock,
        rng: random.Random,
        *,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        terms: LeaseTerms | None = None,
        rank: Callable[[ids.ShardName], int] | None = None,
        initial_takeover_delay_s: float = 0.0,
    ) -> None:
        super().__init__()
        self._tables = tables
        self._clock = clock
        self._rng = rng
        self._process_id = process_id
        self._incarnation = incarnation
        self._terms = terms or LeaseTerms()
        self._rank = rank or _first
        self._first_take_s = clock.monotonic_s() + initial_takeover_delay_s
        self._leases: dict[ids.ShardName, Lease] = {}
        self._guards: dict[ids.ShardName, ManagedLeaseGuard] = {}
        self._read_due_s: dict[ids.ShardName, float] = {}
        self._busy: dict[ids.ShardName, asyncio.Task[None]] = {}

    def guard(self, shard: ids.ShardName) -> ManagedLeaseGuard:
        """Return a shard's guard and try to hold its lease from now on."""
        if shard not in self._leases:
            lease = Lease(
                shard,
                self._process_id,
                self._incarnation,
                self._terms,
            )
            lease.acquire_not_before_s = self._first_take_s
            self._leases[shard] = lease
            self._guards[shard] = ManagedLeaseGuard(lease, self._clock)
        return self._guards[shard]

    def held_shards(self) -> list[ids.ShardName]:
        """Return the shards whose lease is held."""
        return [
            shard for shard, guard in self._guards.items() if guard.is_held()
        ]

    def fencing_numbers(self, since_s: float) -> dict[str, int]:
        """Return the held numbers that the store confirmed since a time."""
        numbers: dict[str, int] = {}
        for shard, lease in self._leases.items():
            number = lease.fencing_number_confirmed_since(since_s)
            if number is not None:
                numbers[shard] = number
        return numbers

    async def release(self, shard: ids.ShardName) -> None:
        """Stop to hold a shard's lease and let a successor take it at once.

        The guard refuses from now on. The release is written once the calls
        that were begun under the lease have ended.
        """
        lease = self._leases.pop(shard, None)
        self._guards.pop(shard, None)
        self._read_due_s.pop(shard, None)
        if lease is None:
            return
        lease.retire()
        task = self._busy.pop(shard, None)
        if task is not None:
            # Its renewal may have taken effect; the release builds on it.
            await asyncio.wait({task}, timeout=self._terms.longest_call_s)
            task.cancel()
        if lease.may_release():
            await self._write_release(lease)

    async def on_start(self) -> None:
        """Start to keep the leases."""
        self.add_future(self._tick())
        self.add_future(self._keep())

    async def on_stop(self) -> None:
        """Release all leases."""
        await asyncio.gather(*(self.release(s) for s in list(self._leases)))

    async def _tick(self) -> None:
        while not self.should_stop:
            now_s = self._clock.monotonic_s()
            for lease in self._leases.values():
                lease.tick(now_s)
                self._act(lease, now_s)
            await self._clock.sleep(TICK_S)

    async def _keep(self) -> None:
        while not self.should_stop:
            await self._read()
            await self._clock.sleep(READ_INTERVAL_S)

    async def _read(self) -> None:
        """Read all leases that others hold in one call."""
        now_s = self._clock.monotonic_s()
        wanted = [
            lease
            for lease in self._leases.values()
            if lease.next_action(now_s) is LeaseAction.READ
            and now_s >= self._read_due_s.get(lease.shard, now_s)
        ]
        if not wanted:
            return
        for lease in wanted:
            self._plan_next_read(lease, now_s)
        keys: list[str] = []
        for lease in wanted:
            keys += lease.keys_to_read()
        try:
            rows = await self._tables.read(keys)
        except StoreError:
            return
        now_s = self._clock.monotonic_s()
        for lease in wanted:
            # A takeover may have ended while the read was under way.
            if lease.shard not in self._busy and not lease.may_release():
                lease.observe(rows, now_s)

    def _plan_next_read(self, lease: Lease, now_s: float) -> None:
        rank = self._rank(lease.shard)
        lease.acquire_delay_s = rank * RANK_DELAY_S
        factor = 1 if rank <= 1 else MAX_INTERVAL_FACTOR
        # Half an interval early, so that the loop's own delay skips no turn.
        due_s = now_s + READ_INTERVAL_S * (factor - 0.5)
        self._read_due_s[lease.shard] = due_s

    def _act(self, lease: Lease, now_s: float) -> None:
        if lease.shard in self._busy:
            return
        action = lease.next_action(now_s)
        operation_id = ids.OperationId(f'lease/{uuid.uuid4().hex}')
        if action is LeaseAction.ACQUIRE:
            operation = lease.acquire(operation_id, now_s)
        elif action is LeaseAction.RENEW:
            operation = lease.renew(operation_id, now_s)
        else:
            return
        task = asyncio.ensure_future(self._commit(lease, operation))
        self._busy[lease.shard] = task
        task.add_done_callback(lambda _: self._busy.pop(lease.shard, None))

    async def _commit(self, lease: Lease, operation: LeaseOperation) -> None:
        while True:
            try:
                versions = await self._tables.commit(
                    operation.operation_id, operation.checks, operation.writes
                )
            except StoreConflictError:
                lease.record_conflict()
                _logger.info('lease_conflict', shard=lease.shard)
                return
            except StoreError as error:
                _logger.debug(
                    'lease_not_written', shard=lease.shard, error=str(error)
                )
                delay_s = self._rng.uniform(0, MAX_RETRY_DELAY_S)
                await self._clock.sleep(delay_s)
            else:
                lease.record_success(operation, versions)
                return

    async def _write_release(self, lease: Lease) -> None:
        wait_s = lease.calls_end_s() - self._clock.monotonic_s()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        operation = lease.renew(
            ids.OperationId(f'lease/{uuid.uuid4().hex}'),
            self._clock.monotonic_s(),
            release=True,
        )
        for _ in range(RELEASE_TRIES):
            try:
                await self._tables.commit(
                    operation.operation_id, operation.checks, operation.writes
                )
            except StoreConflictError:
                return
            except StoreError:
                delay_s = self._rng.uniform(0, MAX_RETRY_DELAY_S)
                await self._clock.sleep(delay_s)
            else:
                return


def _first(_: ids.ShardName) -> int:
    return 0
