"""Expiry of keys."""

from __future__ import annotations

from dogwoodpost.core.expiring_keys import ExpiringKeys


def test_each_key_expires_at_its_own_time() -> None:
    """Guards against keys that outlive their expiry or share another's."""
    keys: ExpiringKeys[str] = ExpiringKeys()
    keys.add('short', 1.0)
    keys.add('long', 3.0)
    assert keys.current(0.5) == {'short', 'long'}
    assert keys.current(1.0) == {'long'}
    keys.add('long', 2.0)
    assert keys.current(2.0) == frozenset()
    keys.add('long', 4.0)
    keys.discard('long')
    keys.discard('unknown')
    assert keys.current(3.0) == frozenset()
