"""When a change is in force, and which entries must answer queries."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import KnownEntries
from dogwoodpost.core.configuration.spread import SpreadTracker

A, B = ids.ProcessId('a'), ids.ProcessId('b')


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Revision 5 is in force here since 10.0; a and b must confirm it."""

    confirmed: tuple[str, ...] = ()
    now_s: float = 10.1
    scan_start_s: float | None = 10.0
    announced: bool = True
    in_force: bool = False
    waiting_for: tuple[str, ...] = ()


CASES = {
    'all confirmed': Case(confirmed=('a', 'b'), in_force=True),
    'one unconfirmed': Case(confirmed=('a',), waiting_for=('b',)),
    'scan from before the change': Case(
        confirmed=('a', 'b'), scan_start_s=9.9
    ),
    'never scanned': Case(confirmed=('a', 'b'), scan_start_s=None),
    'before the freshness time': Case(
        now_s=13.02, confirmed=('a',), waiting_for=('b',)
    ),
    'after the freshness time': Case(
        now_s=13.04, confirmed=('a',), in_force=True
    ),
    'freshness time at an entry unknown to others': Case(
        now_s=60.0, announced=False, waiting_for=('a', 'b')
    ),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_in_force(case: Case) -> None:
    """Guards against reporting a revocation as in force too early."""
    spread = SpreadTracker()
    spread.record_own_revision(ids.Revision(5), 10.0)
    for name in ('a', 'b'):
        confirmed = 6 if name in case.confirmed else 4
        spread.confirm(ids.ProcessId(name), ids.Revision(confirmed))
        spread.confirm(ids.ProcessId(name), ids.Revision(2))
    report = spread.report(
        ids.Revision(5),
        case.now_s,
        awaited=frozenset({A, B}),
        scan_start_s=case.scan_start_s,
        announced=case.announced,
    )
    assert report.in_force == case.in_force
    assert report.waiting_for == case.waiting_for
    ahead = spread.report(
        ids.Revision(6),
        99.0,
        awaited=frozenset(),
        scan_start_s=99.0,
        announced=True,
    )
    assert not ahead.in_force


def row(name: str) -> EntryRow:
    return EntryRow(
        process_id=ids.ProcessId(name),
        incarnation=ids.Incarnation('1'),
        host_id=ids.HostId(f'host-{name}'),
        region=ids.Region('r'),
        availability_zone=ids.AvailabilityZone('r-a'),
        peer_address=f'tcp://{name}',
    )


def test_required_entries() -> None:
    """Guards against finding the store down without asking every entry."""
    known = KnownEntries(ids.ProcessId('own'))
    known.record_scan([row('own'), row('a'), row('b')], 0.0, 0.1)
    assert known.required_to_answer(1.0) == {A, B}
    known.record_hosts([ids.HostId('host-a')])
    # The host list is updated with a delay: host-b may be a new host.
    assert known.required_to_answer(99.0) == {A, B}, 'no entry was asked'
    assert known.dead_entries(99.0) == []
    assert known.unlisted() == [B]
    known.record_query(A, 1.0)
    known.record_query(B, 1.0)
    known.record_query(B, 20.0)
    assert known.required_to_answer(29.0) == {A, B}
    assert known.required_to_answer(31.0) == {A}
    assert [dead.process_id for dead in known.dead_entries(31.0)] == [B]
    known.record_message(B, 'tcp://b', 32.0)
    assert known.required_to_answer(33.0) == {A, B}
    assert known.dead_entries(33.0) == []
    known.record_hosts([ids.HostId('host-b')])
    assert known.required_to_answer(34.0) == {B}, (
        'the list no longer shows host-a'
    )
    known.record_message(ids.ProcessId('new'), 'tcp://new', 35.0)
    assert known.required_to_answer(36.0) == {B, 'new'}
    assert known.addresses()[ids.ProcessId('new')] == 'tcp://new'
    known.record_scan([row('b')], 34.9, 36.1)
    assert known.required_to_answer(36.2) == {B, 'new'}, (
        'the entry may be newer than the scan'
    )
    known.record_scan([row('b')], 36.3, 36.4)
    assert known.required_to_answer(36.5) == {B}
    assert known.last_drop_s == 36.4


def test_removed_entry_must_confirm_while_its_read_is_fresh() -> None:
    """Guards against reporting a change in force too early.

    An entry whose registration was removed may still serve its last read.
    """
    known = KnownEntries(ids.ProcessId('own'))
    known.record_scan([row('a')], 10.0, 10.0)
    assert known.required_to_confirm(12.9) is None
    assert known.required_to_confirm(13.1) == {A}
    known.record_scan([], 20.0, 20.1)
    assert known.required_to_confirm(23.0) == {A}
    assert known.required_to_confirm(23.2) == frozenset()
