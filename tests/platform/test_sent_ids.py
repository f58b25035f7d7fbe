"""Detection of request ids that were sent to the same address before."""

from __future__ import annotations

from dogwoodpost.core import ids
from dogwoodpost.platform.sent_ids import SentIds

REQUEST = ids.RequestId('request-1')
OTHER = ids.RequestId('request-2')


def test_only_a_repeat_at_the_same_address_is_not_new() -> None:
    """Guards against needless connections for repeats at other addresses."""
    sent = SentIds()
    assert sent.record_send('a:1', REQUEST)
    assert sent.record_send('b:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
    assert not sent.record_send('a:1', REQUEST)


def test_least_recently_sent_ids_are_dropped() -> None:
    """Guards against memory that grows with the number of requests."""
    sent = SentIds(max_count=2)
    assert sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
    assert not sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', ids.RequestId('request-3'))
    assert not sent.record_send('a:1', REQUEST)
    assert sent.record_send('a:1', OTHER)
