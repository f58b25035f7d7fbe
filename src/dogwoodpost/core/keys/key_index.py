"""Looks up the record of a key that a caller presents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.keys.digest import digests_equal
from dogwoodpost.core.keys.digest import key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.configuration import KeyRecord

# The first 32 bits of a digest select a bucket, within which digests are
# compared in constant time. A caller can't choose the digest of a guessed key,
# so the time of the bucket lookup reveals nothing useful.
_BUCKET_HEX_DIGITS = 8


class KeyIndex:
    """Key records by digest, built once per configuration revision."""

    def __init__(self, records: Iterable[KeyRecord]) -> None:
        self._buckets: dict[str, list[KeyRecord]] = {}
        for record in records:
            bucket = record.digest[:_BUCKET_HEX_DIGITS]
            self._buckets.setdefault(bucket, []).append(record)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, None if the key is unknown.

        A record that is not revoked takes precedence over revoked ones.
        """
        digest = key_digest(key)
        match: KeyRecord | None = None
        for record in self._buckets.get(digest[:_BUCKET_HEX_DIGITS], ()):
            is_equal = digests_equal(record.digest, digest)
            if is_equal and (match is None or match.revoked):
                match = record
        return match
