"""Tests of the times at which a lease begins, ends and changes hands."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.leases import Lease
from dogwoodpost.core.leases import LeaseAction
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.ports.table_store import Row

TERMS = LeaseTerms(duration_s=10.0, longest_call_s=2.0, clock_rate_error=0.01)
FENCE, RENEWAL = 'lease/s/fence', 'lease/s/renewal'
OPERATION = ids.OperationId('operation')


def new_lease(name: str = 'entry-1', incarnation: str = '1') -> Lease:
    return Lease(
        ids.ShardName('s'),
        ids.ProcessId(name),
        ids.Incarnation(incarnation),
        TERMS,
    )


def taken(sent_s: float = 100.0) -> Lease:
    lease = new_lease()
    lease.observe({}, sent_s)
    operation = lease.acquire(OPERATION, sent_s)
    lease.record_success(operation, {FENCE: 1, RENEWAL: 2})
    return lease


def rows_of(holder: Lease, now_s: float, version: int = 2) -> dict[str, Row]:
    writes = holder.acquire(OPERATION, now_s).writes
    return {
        write.key: Row(write.key, write.value or b'', version)
        for write in writes
    }


def test_the_window_begins_before_the_renewal_was_sent() -> None:
    """Guards against a lease that a slow store prolongs.

    The duration counts from before the renewal was sent, not from when it
    was confirmed.
    """
    lease = taken(100.0)
    for now_s in (102.0, 104.0, 106.0, 107.89):
        assert lease.begin_call(now_s) == 1
    with pytest.raises(LeaseLostError):
        lease.begin_call(107.9)
    assert lease.next_action(107.9) is LeaseAction.RENEW


@pytest.mark.parametrize(('gap_s', 'held'), [(2.05, True), (2.2, False)])
def test_a_gap_longer_than_the_margin_loses_the_lease(
    gap_s: float, held: bool
) -> None:
    """Guards against a paused holder that continues without a new renewal."""
    lease = taken(100.0)
    lease.tick(100.5)
    assert lease.is_held(100.5 + gap_s) is held
    assert lease.is_held(100.6 + gap_s) is held
    early = lease.renew(OPERATION, 100.5)
    lease.record_success(early, {RENEWAL: 3})
    assert lease.is_held(100.7 + gap_s) is held
    late = lease.renew(OPERATION, 100.8 + gap_s)
    lease.record_success(late, {RENEWAL: 4})
    assert lease.is_held(100.9 + gap_s)


def test_a_successor_waits_from_its_own_first_read() -> None:
    """Guards against a wait that starts before the row was first read."""
    rows = rows_of(taken(), 100.0)
    successor = new_lease('entry-2')
    successor.observe(rows, 50.0)
    successor.observe(rows, 55.0)
    assert successor.next_action(60.09) is LeaseAction.READ
    assert successor.next_action(60.11) is LeaseAction.ACQUIRE
    successor.observe(rows_of(taken(), 100.0, version=3), 60.11)
    assert successor.next_action(70.2) is LeaseAction.READ
    assert successor.acquire(OPERATION, 71.0).fencing_number == 2


def test_a_released_lease_needs_no_wait() -> None:
    """Guards against a planned stop that leaves shards without a holder."""
    holder = taken()
    holder.begin_call(104.0)
    holder.retire()
    with pytest.raises(LeaseLostError):
        holder.begin_call(104.0)
    assert holder.calls_end_s() == 106.0
    write = holder.renew(OPERATION, 106.0, release=True).writes[0]
    rows = rows_of(taken(), 100.0)
    rows[RENEWAL] = Row(RENEWAL, write.value or b'', 5)
    successor = new_lease('entry-2')
    successor.observe(rows, 50.0)
    assert successor.next_action(50.0) is LeaseAction.ACQUIRE
    assert successor.acquire(OPERATION, 50.0).fencing_number == 2


def test_a_conflict_ends_the_lease() -> None:
    """Guards against a holder that goes on after a failed renewal."""
    lease = taken()
    lease.record_conflict()
    with pytest.raises(LeaseLostError):
        lease.fence_check(100.1)
    assert lease.next_action(100.1) is LeaseAction.READ


def test_a_restarted_holder_goes_on_at_once() -> None:
    """Guards against a wait for a holder that has certainly ended.

    After all processes were killed and restarted, no weights were ordered
    for 7 s, because each process waited for its earlier incarnation.
    """
    rows = rows_of(taken(), 100.0)
    restarted = new_lease('entry-1', '2')
    restarted.acquire_not_before_s = 60.0
    restarted.observe(rows, 50.0)
    assert restarted.next_action(50.0) is LeaseAction.ACQUIRE
    assert restarted.acquire(OPERATION, 50.0).fencing_number == 2
    same = new_lease('entry-1', '1')
    same.observe(rows, 50.0)
    assert same.next_action(50.0) is LeaseAction.READ


def test_a_new_process_observes_before_it_may_take() -> None:
    """Guards against a start-up delay that adds to the successor's wait."""
    lease = new_lease('entry-2')
    lease.acquire_not_before_s = 55.0
    lease.observe(rows_of(taken(), 100.0), 50.0)
    assert lease.next_action(60.09) is LeaseAction.READ
    assert lease.next_action(60.11) is LeaseAction.ACQUIRE
    free = new_lease('entry-2')
    free.acquire_not_before_s = 55.0
    free.observe({}, 50.0)
    assert free.next_action(54.9) is LeaseAction.READ
    assert free.next_action(55.0) is LeaseAction.ACQUIRE
