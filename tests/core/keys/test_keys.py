"""Digests of keys and their check."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import KeyRecord
from dogwoodpost.core.keys import key_digest
from dogwoodpost.core.keys import KeyIndex


def record(name: str, key: str, *, revoked: bool = False) -> KeyRecord:
    return KeyRecord(
        key_id=ids.KeyId(name),
        client_account_id=ids.ClientAccountId('lab'),
        digest=key_digest(key),
        revoked=revoked,
    )


@pytest.mark.parametrize(
    ('key', 'expected'),
    [
        ('first', 'a'),
        ('second', 'b'),
        ('reissued', 'd'),
        ('firs', None),
        ('', None),
        ('\ud800', None),
    ],
)
def test_only_the_exact_key_is_found(key: str, expected: str | None) -> None:
    """Guards against matches by prefix and by a revoked twin."""
    index = KeyIndex(
        [
            record('a', 'first'),
            record('b', 'second'),
            record('c', 'reissued', revoked=True),
            record('d', 'reissued'),
        ]
    )
    found = index.find(key)
    assert (found.key_id if found else None) == expected


def test_digest_hides_the_key() -> None:
    """Guards against a stored form from which the key can be read."""
    assert len(key_digest('secret')) == 64
    assert 'secret' not in key_digest('secret')
