"""Detection of dead processes by their heartbeats."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker

PROCESS = ids.ProcessId('node-1')
FIRST = ids.Incarnation('first')


def record(
    incarnation: ids.Incarnation = FIRST,
    loads: dict[ids.EndpointId, int] | None = None,
) -> PresenceRecord:
    return PresenceRecord(
        incarnation=incarnation, sequence=1, loads=loads or {}
    )


@pytest.fixture
def presence() -> PresenceTracker:
    presence = PresenceTracker(timeout_s=2.6, max_gap_s=2.2)
    presence.note_contact(0.0)
    presence.observe(PROCESS, record(), 1, 0.0)
    return presence


def test_silent_process_counts_as_dead(presence: PresenceTracker) -> None:
    """Guards against jobs that stay with a dead process."""
    for now_s in (1.0, 2.0, 3.0):
        presence.note_contact(now_s)
    assert presence.is_alive(PROCESS, FIRST, 2.5)
    assert not presence.is_alive(PROCESS, FIRST, 3.0)
    assert presence.live_process_ids(3.0) == []


def test_new_incarnation_replaces_the_earlier_one(
    presence: PresenceTracker,
) -> None:
    """Guards against a restart after which lost jobs are not taken over."""
    second = ids.Incarnation('second')
    presence.observe(PROCESS, record(second), 2, 0.5)
    assert not presence.is_alive(PROCESS, FIRST, 0.5)
    assert presence.is_alive(PROCESS, second, 0.5)


def test_older_row_is_ignored(presence: PresenceTracker) -> None:
    """Guards against a late write of an earlier incarnation."""
    presence.observe(PROCESS, record(ids.Incarnation('old')), 1, 0.5)
    assert presence.is_alive(PROCESS, FIRST, 0.5)


def test_store_outage_does_not_mark_processes_dead(
    presence: PresenceTracker,
) -> None:
    """Guards against taking over all jobs after an outage."""
    assert presence.is_alive(PROCESS, FIRST, 9.0)
    presence.note_contact(10.0)
    assert presence.is_alive(PROCESS, FIRST, 12.0)


def test_loads_of_dead_processes_are_ignored(
    presence: PresenceTracker,
) -> None:
    """Guards against capacity that a dead process still seems to use."""
    engine = ids.EndpointId('engine')
    presence.observe(PROCESS, record(loads={engine: 3}), 2, 1.0)
    own = ids.ProcessId('own')
    presence.observe(own, record(loads={engine: 5}), 3, 1.0)
    assert presence.loads_of_others(own, 1.0) == {engine: 3}
    for now_s in (2.0, 3.0, 4.0):
        presence.note_contact(now_s)
    assert presence.loads_of_others(own, 4.0) == {}
