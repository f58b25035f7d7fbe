"""Repeats of an id at the same address."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.platform.sent_ids import SentIds

REQUEST = ids.RequestId('request-1')
OTHER = ids.RequestId('request-2')


def test_only_a_repeat_at_the_same_address_is_known() -> None:
    """Guards against connections of their own for repeats elsewhere."""
    sent = SentIds()
    assert sent.record_send('a:1', REQUEST)
    assert sent.record_send('b:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
    assert not sent.record_send('a:1', REQUEST)


def test_memory_is_bounded_and_keeps_what_came_last() -> None:
    """Guards against growth with the requests of a process."""
    sent = SentIds(max_count=2)
    assert sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
    assert not sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', ids.RequestId('request-3'))
    assert not sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
