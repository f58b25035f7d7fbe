"""Judgement of processes by their heartbeats."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker

NODE = ids.ProcessId('node-1')
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
    presence.observe(NODE, record(), 1, 0.0)
    return presence


def test_a_silent_process_is_gone(presence: PresenceTracker) -> None:
    """Guards against jobs that wait for a lost process."""
    for now_s in (1.0, 2.0, 3.0):
        presence.note_contact(now_s)
    assert presence.is_alive(NODE, FIRST, 2.5)
    assert not presence.is_alive(NODE, FIRST, 3.0)
    assert presence.live_process_ids(3.0) == []


def test_a_new_incarnation_ends_the_one_before(
    presence: PresenceTracker,
) -> None:
    """Guards against a restart that hides the loss of its jobs."""
    second = ids.Incarnation('second')
    presence.observe(NODE, record(second), 2, 0.5)
    assert not presence.is_alive(NODE, FIRST, 0.5)
    assert presence.is_alive(NODE, second, 0.5)


def test_an_older_row_changes_nothing(presence: PresenceTracker) -> None:
    """Guards against a late write of an earlier incarnation."""
    presence.observe(NODE, record(ids.Incarnation('old')), 1, 0.5)
    assert presence.is_alive(NODE, FIRST, 0.5)


def test_an_outage_of_the_store_ends_no_process(
    presence: PresenceTracker,
) -> None:
    """Guards against takeovers of all jobs after an outage."""
    assert presence.is_alive(NODE, FIRST, 9.0)
    presence.note_contact(10.0)
    assert presence.is_alive(NODE, FIRST, 12.0)


def test_loads_of_others_leave_out_the_silent(
    presence: PresenceTracker,
) -> None:
    """Guards against places that a lost process seems to take."""
    engine = ids.EndpointId('engine')
    presence.observe(NODE, record(loads={engine: 3}), 2, 1.0)
    own = ids.ProcessId('own')
    presence.observe(own, record(loads={engine: 5}), 3, 1.0)
    assert presence.loads_of_others(own, 1.0) == {engine: 3}
    for now_s in (2.0, 3.0, 4.0):
        presence.note_contact(now_s)
    assert presence.loads_of_others(own, 4.0) == {}
