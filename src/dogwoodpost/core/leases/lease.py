"""State machine of one process for one lease, as holder and successor."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.core.leases.records import fence_key
from dogwoodpost.core.leases.records import FenceRecord
from dogwoodpost.core.leases.records import renewal_key
from dogwoodpost.core.leases.records import RenewalRecord
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core.leases.terms import LeaseTerms
    from dogwoodpost.ports.table_store import Row


class LeaseAction(Enum):
    """Next step of a process for a lease.

    ``READ`` means to read the rows of a lease that another process may hold.
    """

    WAIT = 'wait'
    READ = 'read'
    ACQUIRE = 'take'
    RENEW = 'renew'


class LeaseOperation(msgspec.Struct, frozen=True, kw_only=True):
    """A transaction that acquires, renews or releases a lease.

    :param sequence: number of renewals since the takeover.
    :param sent_s: time before the first attempt. Retries with the same
        operation id keep it, because any of the attempts may be the one that
        took effect.
    :param releases: whether the transaction gives the lease up.
    """

    operation_id: ids.OperationId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
    fencing_number: ids.FencingNumber
    sequence: int
    sent_s: float
    releases: bool = False


class _HeldLease(msgspec.Struct):
    """The lease as this process holds it.

    ``renewed_s`` is the time at which the last successful transaction was
    first sent.
    """

    fencing_number: ids.FencingNumber
    fence_version: int
    renewal_version: int
    sequence: int
    renewed_s: float


class _ObservedLease(msgspec.Struct, frozen=True):
    """The lease as this process read it from the store.

    ``first_seen_s`` is when a read first returned this renewal version.
    """

    fence_version: int
    renewal_version: int
    fencing_number: ids.FencingNumber
    duration_s: float
    released: bool
    first_seen_s: float
    held_by_predecessor: bool = False


class Lease:
    """State of one lease at one process.

    All times are in seconds of the process's ``CLOCK_BOOTTIME``.

    ``acquire_delay_s`` is an additional wait before a takeover. It spreads the
    leases over the processes, and the caller may change it at any time.
    ``acquire_not_before_s`` is the earliest time at which a process that has
    just started may acquire a lease, unless an earlier incarnation of it
    still holds the lease. Without this limit, a restarted process and the
    process that replaced its earlier incarnation would take the lease from
    each other in turn.
    """

    def __init__(
        self,
        shard: ids.ShardName,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        terms: LeaseTerms,
    ) -> None:
        self.shard = shard
        self._process_id = process_id
        self._incarnation = incarnation
        self._terms = terms
        self.acquire_delay_s = 0.0
        self.acquire_not_before_s = float('-inf')
        self._held: _HeldLease | None = None
        self._observed: _ObservedLease | None = None
        self._last_tick_s: float | None = None
        self._last_gap_end_s = float('-inf')
        self._last_call_start_s = float('-inf')
        self._is_retired = False

    def tick(self, now_s: float) -> None:
        """Record that the event loop is running.

        If more than the margin has passed since the last call, the process
        was paused, and the lease is unusable until the next renewal.
        """
        if (
            self._last_tick_s is not None
            and now_s - self._last_tick_s > self._terms.margin_s
        ):
            self._last_gap_end_s = now_s
        self._last_tick_s = now_s

    def acts_until_s(self) -> float:
        """Return when the holder must stop starting calls, in seconds.

        The result is -inf if the lease is not held, is about to be released,
        or was last renewed before the process was paused.
        """
        held = self._held
        if self._is_retired or held is None:
            return float('-inf')
        if held.renewed_s <= self._last_gap_end_s:
            return float('-inf')
        return held.renewed_s + self._terms.duration_s - self._terms.margin_s

    def begin_call(self, now_s: float) -> ids.FencingNumber:
        """Return the fencing number for a call that starts now.

        :raises LeaseLostError: the lease is not held, or it ends too soon for
            the longest call.
        """
        self.tick(now_s)
        if self._held is None or now_s >= self.acts_until_s():
            raise LeaseLostError(f'lease {self.shard} is not held')
        self._last_call_start_s = now_s
        return self._held.fencing_number

    def fence_check(self, now_s: float) -> Check:
        """Return the check that fails a transaction after a takeover.

        :raises LeaseLostError: the lease is not held, or it ends too soon for
            the longest call.
        """
        self.begin_call(now_s)
        assert self._held is not None
        return Check(fence_key(self.shard), self._held.fence_version)

    def is_held(self, now_s: float) -> bool:
        """Return whether a call may start now."""
        self.tick(now_s)
        return now_s < self.acts_until_s()

    def fencing_number_confirmed_since(
        self, since_s: float
    ) -> ids.FencingNumber | None:
        """Return the held fencing number if it was confirmed recently.

        :param since_s: the transaction that the store confirmed must have
            been sent at this time or later; otherwise the result is None.
        """
        if self._held is None or self._held.renewed_s < since_s:
            return None
        return self._held.fencing_number

    def keys_to_read(self) -> list[str]:
        """Return the keys of the rows that :meth:`observe` needs.

        Once the fence row was read, the renewal row is enough: the fence row
        changes only together with the fencing number, which the renewal row
        contains as well.
        """
        if self._observed is not None and self._observed.fence_version > 0:
            return [renewal_key(self.shard)]
        return [fence_key(self.shard), renewal_key(self.shard)]

    def observe(self, rows: Mapping[str, Row], read_end_s: float) -> None:
        """Update the observed state from rows that were read.

        :param rows: rows of :meth:`keys_to_read` that exist, by key.
        :param read_end_s: when the read returned. The rows may have been
            written during the read, so its start time would be too early.
        """
        renewal = rows.get(renewal_key(self.shard))
        previous = self._observed
        if renewal is None:
            self._observed = _ObservedLease(
                0, 0, ids.FencingNumber(0), 0.0, True, read_end_s
            )
            return
        if previous and previous.renewal_version == renewal.version:
            return
        record = decode_json_row(renewal.value, RenewalRecord)
        fence = rows.get(fence_key(self.shard))
        held_by_predecessor = False
        if fence is not None:
            fence_version = fence.version
            held_by_predecessor = self._is_predecessor(fence)
        elif previous and previous.fencing_number == record.fencing_number:
            fence_version = previous.fence_version
        else:
            # The fencing number changed, so there was a takeover. The next
            # read includes the fence row.
            self._observed = None
            return
        self._observed = _ObservedLease(
            fence_version,
            renewal.version,
            record.fencing_number,
            record.duration_s,
            record.released,
            read_end_s,
            held_by_predecessor,
        )

    def next_action(self, now_s: float) -> LeaseAction:
        """Return the next step for this lease."""
        if self._held is not None:
            due_s = self._held.renewed_s + self._terms.renew_interval_s
            is_due = now_s >= due_s or now_s >= self.acts_until_s()
            return LeaseAction.RENEW if is_due else LeaseAction.WAIT
        if self._observed is not None and now_s >= self._acquire_at_s():
            if (
                now_s >= self.acquire_not_before_s
                or self._is_held_by_predecessor()
            ):
                return LeaseAction.ACQUIRE
        return LeaseAction.READ

    def acquire(
        self, operation_id: ids.OperationId, now_s: float
    ) -> LeaseOperation:
        """Return the transaction that acquires the lease."""
        observed = self._observed
        assert observed is not None
        number = ids.FencingNumber(observed.fencing_number + 1)
        fence = FenceRecord(
            holder=self._process_id,
            incarnation=self._incarnation,
            fencing_number=number,
        )
        fence_write = Write(fence_key(self.shard), msgspec.json.encode(fence))
        return LeaseOperation(
            operation_id=operation_id,
            checks=(
                Check(fence_key(self.shard), observed.fence_version),
                Check(renewal_key(self.shard), observed.renewal_version),
            ),
            writes=(fence_write, self._renewal_write(number, 0)),
            fencing_number=number,
            sequence=0,
            sent_s=now_s,
        )

    def renew(
        self,
        operation_id: ids.OperationId,
        now_s: float,
        *,
        release: bool = False,
    ) -> LeaseOperation:
        """Return the transaction that renews or releases the lease.

        :param release: whether to give the lease up in a planned release.
        """
        held = self._held
        assert held is not None
        sequence = held.sequence + 1
        write = self._renewal_write(
            held.fencing_number, sequence, release=release
        )
        return LeaseOperation(
            operation_id=operation_id,
            checks=(
                Check(fence_key(self.shard), held.fence_version),
                Check(renewal_key(self.shard), held.renewal_version),
            ),
            writes=(write,),
            fencing_number=held.fencing_number,
            sequence=sequence,
            sent_s=now_s,
            releases=release,
        )

    def record_success(
        self, operation: LeaseOperation, versions: Mapping[str, int]
    ) -> None:
        """Update the state after a transaction that took effect.

        :param versions: new versions of the written rows, by key.
        """
        if operation.releases:
            self._held = None
            self._observed = None
            return
        fence_version = versions.get(fence_key(self.shard))
        if fence_version is None:
            if self._held is None:
                return
            fence_version = self._held.fence_version
        self._held = _HeldLease(
            operation.fencing_number,
            fence_version,
            versions[renewal_key(self.shard)],
            operation.sequence,
            operation.sent_s,
        )

    def record_conflict(self) -> None:
        """Drop the lease after a transaction failed its checks.

        Another transaction has changed the rows since they were read.
        """
        self._held = None
        self._observed = None

    def retire(self) -> None:
        """Start no further calls, in preparation for a planned release."""
        self._is_retired = True

    def may_release(self) -> bool:
        """Return whether there is a lease to release."""
        return self._held is not None

    def calls_end_s(self) -> float:
        """Return the time by which every started call has ended."""
        return self._last_call_start_s + self._terms.longest_call_s

    def _acquire_at_s(self) -> float:
        observed = self._observed
        assert observed is not None
        wait_s = 0.0
        if self._is_held_by_predecessor():
            return observed.first_seen_s
        if not observed.released:
            wait_s = self._terms.successor_wait_s(observed.duration_s)
        return observed.first_seen_s + wait_s + self.acquire_delay_s

    def _is_held_by_predecessor(self) -> bool:
        """Return whether an earlier incarnation of this process holds it.

        The earlier incarnation has certainly ended, so this process can
        acquire the lease without a wait and no other process can act under
        it.
        """
        return self._observed is not None and (
            self._observed.held_by_predecessor
        )

    def _is_predecessor(self, fence: Row) -> bool:
        record = decode_json_row(fence.value, FenceRecord)
        same_process = record.holder == self._process_id
        return same_process and record.incarnation != self._incarnation

    def _renewal_write(
        self,
        number: ids.FencingNumber,
        sequence: int,
        *,
        release: bool = False,
    ) -> Write:
        record = RenewalRecord(
            fencing_number=number,
            sequence=sequence,
            duration_s=self._terms.duration_s,
            released=release,
        )
        return Write(renewal_key(self.shard), msgspec.json.encode(record))
