"""Liveness of peers, and fencing numbers of an agent."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership import FencingNumbers
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.core.membership import PeerLiveness

FIRST = ids.Incarnation('i1')
SECOND = ids.Incarnation('i2')


@pytest.mark.parametrize(
    ('beats', 'silent', 'gone', 'reconnects'),
    [
        ([(1.0, 1, 1), (2.0, 2, 2), (3.0, 3, 3), (4.0, 4, 4)], 0, 0, 0),
        ([], 1, 0, 1),
        ([(1.0, 1, 1)], 1, 0, 1),
        # Heartbeats arrive, but the peer receives none of this process.
        ([(1.0, 1, 0), (2.0, 2, 0), (3.0, 3, 0), (4.0, 4, 0)], 0, 0, 1),
        # Repeated and late heartbeats do not count.
        ([(1.0, 1, 1), (2.0, 1, 1), (3.0, 1, 1), (4.0, 1, 1)], 1, 0, 1),
    ],
)
def test_silence_is_detected_in_both_directions(
    beats: list[tuple[float, int, int]],
    silent: bool,
    gone: bool,
    reconnects: bool,
) -> None:
    """Guards against an undetected loss of messages in one direction."""
    liveness = PeerLiveness(FIRST, 0.0)
    for now_s, sequence, echo in beats:
        liveness.record_heartbeat(FIRST, sequence, echo, now_s)
    assert liveness.is_silent(4.5) == silent
    assert liveness.is_gone(4.5) == gone
    assert liveness.check_reconnect_due(4.5) == reconnects
    assert not liveness.check_reconnect_due(4.6)
    assert liveness.is_gone(11.0)


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against a restart that is detected twice, or reverted."""
    liveness = PeerLiveness(FIRST, 0.0)
    results = [
        liveness.record_heartbeat(incarnation, sequence, 0, 1.0)
        for incarnation, sequence in [
            (FIRST, 5),
            (SECOND, 1),
            (FIRST, 6),
            (SECOND, 2),
        ]
    ]
    assert results == [
        HeartbeatResult.ACCEPTED,
        HeartbeatResult.RESTARTED,
        HeartbeatResult.OUTDATED,
        HeartbeatResult.ACCEPTED,
    ]
    assert liveness.incarnation == SECOND


@pytest.mark.parametrize('endpoint_checks', [False, True])
def test_lower_fencing_number_is_refused(endpoint_checks: bool) -> None:
    """Guards against executing an order of an earlier lease holder."""
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
