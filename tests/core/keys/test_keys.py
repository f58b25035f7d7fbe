"""Tests of key digests and key lookup."""

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
    """Guards against accepting key prefixes.

    Also guards against a revoked record that hides a valid one of that key.
    """
    index = KeyIndex(
        [
            record('a', 'first'),
            record('b', 'second'),
            record('c', 'reissued', revoked=True),
            record('d', 'reissued'),
        ]
    )
    match = index.find(key)
    assert (match.key_id if match else None) == expected


def test_digest_hides_the_key() -> None:
    """Guards against storing a key in readable form."""
    assert len(key_digest('secret')) == 64
    assert 'secret' not in key_digest('secret')
