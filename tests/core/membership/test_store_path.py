"""Choice between direct store calls and calls relayed by a peer."""

from __future__ import annotations

from dogwoodpost.core.membership.store_path import StorePath


def test_one_read_only_call_at_a_time_tries_the_direct_path() -> None:
    """Guards against calls that all wait for an unreachable store."""
    path = StorePath()
    path.note_success(0.0)
    assert path.takes_direct(0.1, may_probe=False)
    path.note_failure(0.2)
    assert not path.takes_direct(0.5, may_probe=True)
    assert not path.takes_direct(1.3, may_probe=False)
    assert path.takes_direct(1.3, may_probe=True)
    assert not path.takes_direct(1.4, may_probe=True)
    path.note_success(1.5)
    assert path.takes_direct(1.6, may_probe=False)


def test_peers_are_served_only_while_the_store_answers() -> None:
    """Guards against relaying calls that are likely to fail."""
    path = StorePath()
    assert not path.serves_peers(0.0)
    path.note_success(0.0)
    assert path.serves_peers(1.0)
    assert not path.serves_peers(5.0)
    path.note_success(5.0)
    path.note_failure(5.1)
    assert not path.serves_peers(5.2)
