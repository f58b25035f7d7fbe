"""Acquires and renews the leases that a process wants to hold."""

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

TICK_INTERVAL_S = 0.25
READ_INTERVAL_S = 1.0
# Processes of rank 2 and above read this many times less often: 20 processes
# that all read 30 leases each second cost 6.8 KB/s per host.
HIGH_RANK_INTERVAL_FACTOR = 8
MAX_RETRY_DELAY_S = 0.5
# Each rank adds this delay before a takeover, so that the process of the
# smallest rank takes over first.
RANK_DELAY_S = 0.5
MAX_RELEASE_TRIES = 3

_logger = structlog.get_logger(__name__)


class ManagedLeaseGuard(LeaseGuard):
    """Guard of one shard's lease in this process."""

    def __init__(self, lease: Lease, clock: Clock) -> None:
        self._lease = lease
        self._clock = clock

    @property
    def shard(self) -> ids.ShardName:
        """Return the shard's name."""
        return self._lease.shard

    def is_held(self) -> bool:
        """Return whether an action under the lease may start now."""
        return self._lease.is_held(self._clock.monotonic_s())

    def fencing_number(self) -> ids.FencingNumber:
        """Return the fencing number of the held lease.

        :raises LeaseLostError: the lease is not held.
        """
        return self._lease.begin_call(self._clock.monotonic_s())

    def fence_check(self) -> Check:
        """Return the check that fails a transaction after a takeover.

        :raises LeaseLostError: the lease is not held.
        """
        return self._lease.fence_check(self._clock.monotonic_s())


class LeaseManager(Service):
    """Acquires, renews and releases leases by shard name.

    :param tables: table store that does not retry by itself; the manager
        repeats an operation whose outcome is unknown and counts the lease's
        duration from the first try.
    :param rank: returns the place of this process among those that want a
        shard, from 0. It only spreads the leases over the processes; any
        process may acquire any lease.
    :param initial_takeover_delay_s: time in seconds after the start during
        which no lease of another process is taken over; an earlier
        incarnation of this process may have held it just before.
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
        self._rank = rank or _rank_zero
        self._earliest_takeover_s = (
            clock.monotonic_s() + initial_takeover_delay_s
        )
        self._leases: dict[ids.ShardName, Lease] = {}
        self._guards: dict[ids.ShardName, ManagedLeaseGuard] = {}
        self._read_due_s: dict[ids.ShardName, float] = {}
        self._commit_tasks: dict[ids.ShardName, asyncio.Task[None]] = {}

    def guard(self, shard: ids.ShardName) -> ManagedLeaseGuard:
        """Return a shard's guard; try to hold its lease from now on."""
        if shard not in self._leases:
            lease = Lease(
                shard,
                self._process_id,
                self._incarnation,
                self._terms,
            )
            lease.acquire_not_before_s = self._earliest_takeover_s
            self._leases[shard] = lease
            self._guards[shard] = ManagedLeaseGuard(lease, self._clock)
        return self._guards[shard]

    def held_shards(self) -> list[ids.ShardName]:
        """Return the shards whose leases are held."""
        return [
            shard for shard, guard in self._guards.items() if guard.is_held()
        ]

    def fencing_numbers(self, since_s: float) -> dict[str, int]:
        """Return the held fencing numbers by shard.

        :param since_s: monotonic time in seconds; numbers that the store has
            not confirmed since then are left out.
        """
        numbers: dict[str, int] = {}
        for shard, lease in self._leases.items():
            number = lease.fencing_number_confirmed_since(since_s)
            if number is not None:
                numbers[shard] = number
        return numbers

    async def release(self, shard: ids.ShardName) -> None:
        """Give up a shard's lease so that a successor can take it at once.

        The guard refuses new actions from now on. The release is written once
        the calls that were started under the lease have ended.
        """
        lease = self._leases.pop(shard, None)
        self._guards.pop(shard, None)
        self._read_due_s.pop(shard, None)
        if lease is None:
            return
        lease.retire()
        task = self._commit_tasks.pop(shard, None)
        if task is not None:
            # The pending commit may take effect; the release must check for
            # the row versions that it leaves.
            await asyncio.wait({task}, timeout=self._terms.longest_call_s)
            task.cancel()
        if lease.may_release():
            await self._write_release(lease)

    async def on_start(self) -> None:
        """Start the loops that acquire and renew leases."""
        self.add_future(self._tick_repeatedly())
        self.add_future(self._read_repeatedly())

    async def on_stop(self) -> None:
        """Release all leases."""
        await asyncio.gather(*(self.release(s) for s in list(self._leases)))

    async def _tick_repeatedly(self) -> None:
        while not self.should_stop:
            now_s = self._clock.monotonic_s()
            for lease in self._leases.values():
                lease.tick(now_s)
                self._start_commit(lease, now_s)
            await self._clock.sleep(TICK_INTERVAL_S)

    async def _read_repeatedly(self) -> None:
        while not self.should_stop:
            await self._read_due_leases()
            await self._clock.sleep(READ_INTERVAL_S)

    async def _read_due_leases(self) -> None:
        """Read all leases that are due and not held here in one call."""
        now_s = self._clock.monotonic_s()
        due_leases = [
            lease
            for lease in self._leases.values()
            if lease.next_action(now_s) is LeaseAction.READ
            and now_s >= self._read_due_s.get(lease.shard, now_s)
        ]
        if not due_leases:
            return
        for lease in due_leases:
            self._plan_next_read(lease, now_s)
        keys: list[str] = []
        for lease in due_leases:
            keys += lease.keys_to_read()
        try:
            rows = await self._tables.read(keys)
        except StoreError:
            return
        now_s = self._clock.monotonic_s()
        for lease in due_leases:
            # The rows are outdated if a takeover has started or finished
            # during the read.
            if (
                lease.shard not in self._commit_tasks
                and not lease.may_release()
            ):
                lease.observe(rows, now_s)

    def _plan_next_read(self, lease: Lease, now_s: float) -> None:
        rank = self._rank(lease.shard)
        lease.acquire_delay_s = rank * RANK_DELAY_S
        factor = 1 if rank <= 1 else HIGH_RANK_INTERVAL_FACTOR
        # Half an interval early: delays of the loop must not skip a read.
        due_s = now_s + READ_INTERVAL_S * (factor - 0.5)
        self._read_due_s[lease.shard] = due_s

    def _start_commit(self, lease: Lease, now_s: float) -> None:
        if lease.shard in self._commit_tasks:
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
        self._commit_tasks[lease.shard] = task
        task.add_done_callback(
            lambda _: self._commit_tasks.pop(lease.shard, None)
        )

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
        for _ in range(MAX_RELEASE_TRIES):
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


def _rank_zero(_: ids.ShardName) -> int:
    return 0
