"""Silence of calls on one connection."""

from __future__ import annotations

import pytest

from dogwoodpost.core.connections import CallSilence
from dogwoodpost.core.connections import ConnectionUse


def test_silence_of_a_used_connection() -> None:
    """Guards against a kept connection that is reported as a new one."""
    use = ConnectionUse(opened_s=1.0)
    use.begin_call('first', 1.0)
    use.note_received(2.0)
    use.end_call()
    use.begin_call('second', 5.0)
    assert use.silence(7.0) == CallSilence(
        call_id='second',
        call_number=2,
        has_worked=True,
        since_s=5.0,
        duration_s=2.0,
        idle_s=3.0,
        age_s=6.0,
    )


def test_silence_of_a_new_connection() -> None:
    """Guards against a dead endpoint that is taken for a lost connection."""
    use = ConnectionUse(opened_s=1.0)
    use.begin_call('first', 1.0)
    silence = use.silence(3.0)
    assert silence is not None
    assert not silence.has_worked
    assert silence.call_number == 1


@pytest.mark.parametrize(
    ('received_s', 'now_s', 'since_s'),
    [(2.0, 2.1, None), (2.0, 4.0, 2.0), (3.9, 4.0, None)],
)
def test_silence_begins_with_the_last_bytes(
    received_s: float, now_s: float, since_s: float | None
) -> None:
    """Guards against a slow stream that counts as silent from its start."""
    use = ConnectionUse(opened_s=1.0)
    use.begin_call('call', 1.0)
    use.note_received(received_s)
    silence = use.silence(now_s)
    assert (silence and silence.since_s) == since_s


def test_idle_connection_is_not_silent() -> None:
    """Guards against idle connections that are reported as silent calls."""
    use = ConnectionUse(opened_s=1.0)
    use.begin_call('call', 1.0)
    use.end_call()
    assert use.silence(9.0) is None


@pytest.mark.parametrize(
    ('opened_s', 'received_s', 'works'),
    [
        (1.0, 6.9, True),
        (1.0, 6.0, False),
        (1.0, 4.9, False),
        (5.5, 6.9, False),
    ],
)
def test_only_an_older_connection_in_use_outlives_a_silence(
    opened_s: float, received_s: float, works: bool
) -> None:
    """Guards against new connections that vouch for the older ones."""
    silent = ConnectionUse(opened_s=1.0)
    silent.begin_call('call', 5.0)
    silence = silent.silence(7.0)
    assert silence is not None
    other = ConnectionUse(opened_s)
    other.begin_call('other', opened_s)
    other.note_received(received_s)
    assert other.outlived(silence, 7.0) is works


@pytest.mark.parametrize('now_s', [5.3, 5.9, 7.0, 60.0])
def test_contact_before_a_silence_qualifies_for_no_retry(now_s: float) -> None:
    """Guards against retries on connections lost with the silent one."""
    use = ConnectionUse(opened_s=1.0)
    use.begin_call('call', 5.0)
    silence = use.silence(now_s)
    assert silence is not None
    other = ConnectionUse(opened_s=1.0)
    other.begin_call('other', 1.0)
    other.note_received(silence.since_s)
    assert other.idle_s(now_s) > silence.trusted_idle_s
