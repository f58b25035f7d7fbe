"""Freshness of an entry's configuration, by section 3.2 of the design page."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.freshness import Freshness
from dogwoodpost.core.configuration.freshness import FreshnessTracker
from dogwoodpost.core.configuration.freshness import PeerAnswer

FRESH, DOWN, STALE = Freshness.FRESH, Freshness.STORE_DOWN, Freshness.STALE


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Reads and answers, and the freshness that follows from them.

    This entry, at revision 7, began to read the store at 0 and sent a query
    at 2.9.

    :param read: whether this entry has read the store at all.
    :param answers: entry, age of its last read in seconds, and revision.
    :param expected: expected state by time in seconds.
    """

    read: bool = True
    required: tuple[str, ...] = ('a', 'b')
    answers: tuple[tuple[str, float | None, int], ...] = ()
    last_drop_s: float | None = None
    expected: dict[float, Freshness]


CASES = {
    'own read only': Case(expected={0: FRESH, 2.99: FRESH, 3.0: STALE}),
    'nothing read yet': Case(read=False, expected={0.1: STALE, 3.0: STALE}),
    'one peer has a fresh read': Case(
        answers=(('a', 0.5, 7),),
        expected={3.0: FRESH, 5.39: FRESH, 5.4: STALE},
    ),
    'age of a relayed read is counted back from the query': Case(
        answers=(('a', 2.99, 7),), expected={2.91: FRESH, 3.0: STALE}
    ),
    'a fresh read of a revision that is missing here': Case(
        answers=(('a', 0.5, 8),), expected={3.0: STALE}
    ),
    'all answer, none reaches the store': Case(
        answers=(('a', 3.0, 7), ('b', None, 0)),
        expected={3.0: DOWN, 5.89: DOWN, 5.9: STALE},
    ),
    'all answer with reads that are fresh but older than 1.5 s': Case(
        answers=(('a', 1.5, 7), ('b', 2.0, 7)),
        expected={3.0: FRESH, 4.4: DOWN, 5.89: DOWN, 5.9: STALE},
    ),
    'one does not answer': Case(
        answers=(('a', 4.0, 7),), expected={3.0: STALE}
    ),
    'one answers with a revision that is missing here': Case(
        answers=(('a', 4.0, 7), ('b', 9.0, 8)), expected={3.0: STALE}
    ),
    'an entry that is not required answers': Case(
        answers=(('a', 4.0, 7), ('c', 4.0, 7)), expected={3.0: STALE}
    ),
    'no other entry': Case(required=(), expected={3.0: DOWN, 5.9: STALE}),
    'no other entry and nothing read': Case(
        read=False, required=(), expected={3.0: STALE}
    ),
    'an entry was dropped after the last read': Case(
        required=('a',),
        answers=(('a', 4.0, 7),),
        last_drop_s=1.0,
        expected={3.0: STALE},
    ),
}


@pytest.mark.parametrize('case', CASES.values(), ids=CASES.keys())
def test_freshness(case: Case) -> None:
    """Guards against serving keyed routes by an outdated configuration."""
    tracker = FreshnessTracker()
    if case.read:
        tracker.record_read(0.0)
    required = frozenset(ids.ProcessId(name) for name in case.required)
    tracker.start_query('q', required, 2.9, last_drop_s=case.last_drop_s)
    for name, age_s, revision in case.answers:
        answer = PeerAnswer(
            process_id=ids.ProcessId(name),
            revision=ids.Revision(revision),
            read_age_s=age_s,
        )
        tracker.record_answer('earlier query', answer, ids.Revision(7))
        tracker.record_answer('q', answer, ids.Revision(7))
    states = {now_s: tracker.state(now_s) for now_s in case.expected}
    assert states == case.expected
