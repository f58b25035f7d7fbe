"""Liveness of peers, and fencing numbers of an agent."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership import FencingNumbers
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.core.membership import PeerLiveness

RUN = ids.Incarnation('i1')
NEXT = ids.Incarnation('i2')


@pytest.mark.parametrize(
    ('beats', 'silent', 'gone', 'reconnects'),
    [
        ([(1.0, 1, 1), (2.0, 2, 2), (3.0, 3, 3), (4.0, 4, 4)], 0, 0, 0),
        ([], 1, 0, 1),
        ([(1.0, 1, 1)], 1, 0, 1),
        # Heard, but not hearing this process.
        ([(1.0, 1, 0), (2.0, 2, 0), (3.0, 3, 0), (4.0, 4, 0)], 0, 0, 1),
        # Repeats and late copies prove nothing.
        ([(1.0, 1, 1), (2.0, 1, 1), (3.0, 1, 1), (4.0, 1, 1)], 1, 0, 1),
    ],
)
def test_silence_is_seen_in_both_directions(
    beats: list[tuple[float, int, int]],
    silent: bool,
    gone: bool,
    reconnects: bool,
) -> None:
    """Guards against a one-way silence that nobody notices."""
    link = PeerLiveness(RUN, 0.0)
    for now_s, sequence, echo in beats:
        link.record_heartbeat(RUN, sequence, echo, now_s)
    assert link.is_silent(4.5) == silent
    assert link.is_gone(4.5) == gone
    assert link.check_reconnect_due(4.5) == reconnects
    assert not link.check_reconnect_due(4.6)
    assert link.is_gone(11.0)


def test_late_heartbeat_of_an_earlier_run_changes_nothing() -> None:
    """Guards against a restart that is seen twice, or undone."""
    link = PeerLiveness(RUN, 0.0)
    results = [
        link.record_heartbeat(incarnation, sequence, 0, 1.0)
        for incarnation, sequence in [
            (RUN, 5),
            (NEXT, 1),
            (RUN, 6),
            (NEXT, 2),
        ]
    ]
    assert results == [
        HeartbeatResult.ACCEPTED,
        HeartbeatResult.RESTARTED,
        HeartbeatResult.OUTDATED,
        HeartbeatResult.ACCEPTED,
    ]
    assert link.incarnation == NEXT


@pytest.mark.parametrize('endpoint_checks', [False, True])
def test_fencing_number_never_falls(endpoint_checks: bool) -> None:
    """Guards against an order of an earlier lease holder."""
    numbers = FencingNumbers()

    def is_refused(shard: str, number: int) -> bool:
        refusal = numbers.refusal_reason(
            ids.ShardName(shard),
            ids.FencingNumber(number),
            endpoint_checks=endpoint_checks,
        )
        return refusal is not None

    assert is_refused('a', 4) != endpoint_checks
    numbers.record_read_back({'a': 5})
    assert is_refused('a', 4)
    assert not is_refused('a', 5)
    assert not is_refused('a', 9)
    numbers.record_read_back({'a': 6})
    assert is_refused('a', 8)
    assert is_refused('b', 9) != endpoint_checks
