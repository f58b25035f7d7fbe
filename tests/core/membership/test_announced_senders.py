"""Processes that may send to cold endpoints."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.announced_senders import AnnouncedSenders
from dogwoodpost.core.membership.announced_senders import MAX_HEARTBEAT_AGE_S
from dogwoodpost.core.membership.announced_senders import MAX_READ_AGE_S
from dogwoodpost.core.membership.announced_senders import MIN_ANNOUNCED_S
from dogwoodpost.core.membership.presence import FORMER_SENDER_S
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker

SERVICE = ids.ServiceName('slate-lm')
OWN = ids.ProcessId('own')
OTHER = ids.ProcessId('other')
TIMEOUT_S = 2.6
WINDOW_S = 1.0


def record(
    *services: ids.ServiceName, incarnation: str = '1', leaving: bool = False
) -> PresenceRecord:
    return PresenceRecord(
        incarnation=ids.Incarnation(incarnation),
        sequence=1,
        sender_services=services,
        leaving=leaving,
    )


@pytest.fixture
def view() -> PresenceTracker:
    view = PresenceTracker(TIMEOUT_S, 2.2)
    view.observe(OTHER, record(SERVICE), 1, 0.0)
    return view


@pytest.fixture
def senders(view: PresenceTracker) -> AnnouncedSenders:
    """Return a process that sends from ``MIN_ANNOUNCED_S`` on."""
    senders = AnnouncedSenders(OWN, view)
    beat(senders, 0.0)
    return senders


def beat(senders: AnnouncedSenders, now_s: float) -> None:
    senders.begin_heartbeat([SERVICE])
    senders.note_heartbeat([SERVICE], now_s, now_s)


def keep_up(
    senders: AnnouncedSenders, view: PresenceTracker, now_s: float
) -> None:
    """Write heartbeats and read the rows up to a time."""
    for step in range(int(now_s / 0.8) + 1):
        beat(senders, step * 0.8)
        view.note_contact(step * 0.8)
    view.note_contact(now_s)


def test_process_sends_once_all_others_have_read_its_row(
    senders: AnnouncedSenders, view: PresenceTracker
) -> None:
    """Guards against two senders that do not know each other."""
    keep_up(senders, view, MIN_ANNOUNCED_S)
    assert not senders.senders(SERVICE, MIN_ANNOUNCED_S - 0.1)
    assert set(senders.senders(SERVICE, MIN_ANNOUNCED_S)) == {OWN, OTHER}
    # A sender's rows are a window older than any row that it has not read.
    assert MIN_ANNOUNCED_S - MAX_READ_AGE_S >= WINDOW_S


def test_process_without_contact_does_not_send(
    senders: AnnouncedSenders, view: PresenceTracker
) -> None:
    """Guards against sends by a process that others take for gone."""
    keep_up(senders, view, 4.0)
    assert senders.senders(SERVICE, 4.0 + 0.5)
    assert not senders.senders(SERVICE, 4.0 + MAX_READ_AGE_S + 0.1)
    view.note_contact(6.0)
    assert not senders.senders(SERVICE, 6.0)
    assert TIMEOUT_S - MAX_HEARTBEAT_AGE_S >= WINDOW_S


@pytest.mark.parametrize(
    'changed',
    [record(leaving=True), record(incarnation='2')],
    ids=['leaving', 'restarted'],
)
def test_former_sender_counts_until_its_last_sends_are_old(
    senders: AnnouncedSenders, view: PresenceTracker, changed: PresenceRecord
) -> None:
    """Guards against a share that grows while the other's sends count."""
    keep_up(senders, view, 4.0)
    view.observe(OTHER, changed, 2, 4.0)
    just_before_s = 4.0 + FORMER_SENDER_S - 0.1
    assert OTHER in senders.senders(SERVICE, just_before_s)
    keep_up(senders, view, 5.3)
    assert set(senders.senders(SERVICE, 5.3)) == {OWN}
    assert FORMER_SENDER_S >= WINDOW_S


def test_process_that_leaves_stops_at_once(
    senders: AnnouncedSenders, view: PresenceTracker
) -> None:
    """Guards against sends after others have read that a process leaves."""
    keep_up(senders, view, 4.0)
    senders.stop()
    assert not senders.senders(SERVICE, 4.0)
