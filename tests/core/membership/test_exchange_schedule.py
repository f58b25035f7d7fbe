"""When a process sends its state, and to whom."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.exchange_schedule import ExchangeSchedule
from dogwoodpost.core.membership.peer_states import ItemDemand
from dogwoodpost.core.membership.presence import PresenceRecord


def record(name: str, *, owns_items: bool) -> PresenceRecord:
    return PresenceRecord(
        incarnation=ids.Incarnation('first'),
        sequence=1,
        datagram_address=name,
        owns_items=owns_items,
    )


@pytest.mark.parametrize(
    ('interval_ms', 'count', 'expected_s'),
    [(100, 1, 0.1), (100, 8, 0.1), (100, 16, 0.2), (20, 8, 0.1)],
)
def test_datagrams_are_limited_to_80_a_second(
    interval_ms: int, count: int, expected_s: float
) -> None:
    """Guards against traffic that grows with the square of the owners."""
    interval_s = ExchangeSchedule().interval_s(interval_ms, count)
    assert interval_s == pytest.approx(expected_s)
    assert count / interval_s <= 80.0 + 1e-9


def test_receivers_own_items_or_did_just_now() -> None:
    """Guards against datagrams to all processes, and to old builds."""
    schedule = ExchangeSchedule()
    owner = record('owner', owns_items=True)
    idle = record('idle', owns_items=False)
    peers = {'owner': owner, 'idle': idle, 'old': record('', owns_items=True)}
    assert schedule.receivers(peers, 0.0) == ['owner']
    peers['owner'] = record('owner', owns_items=False)
    assert schedule.receivers(peers, 3.0) == ['owner']
    assert schedule.receivers(peers, 3.1) == []
    schedule.note_owner(ids.ProcessId('idle'), 3.1)
    assert schedule.receivers(peers, 3.2) == ['idle']


def test_only_real_changes_are_sent_before_the_repeat() -> None:
    """Guards against messages because relative times pass by themselves."""
    schedule = ExchangeSchedule()
    loads = {ids.EndpointId('e0'): 1}
    demand = ItemDemand(service='s', waiting_count=1, start_by_s=2.0)
    schedule.note_sent(['p'], loads, (demand,), 0.0, owns_items=True)

    def is_due(now_s: float, start_by_s: float, count: int = 1) -> bool:
        changed = ItemDemand(
            service='s', waiting_count=count, start_by_s=start_by_s
        )
        return schedule.is_due(['p'], loads, (changed,), now_s)

    assert not is_due(0.3, 1.7)
    assert is_due(0.3, 1.2)
    assert is_due(0.3, 1.7, count=2)
    assert is_due(0.4, 1.6)
    assert schedule.is_due(['p', 'new'], loads, (demand,), 0.1)
