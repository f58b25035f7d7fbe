"""Finds the record of a presented key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.keys.digest import digests_equal
from dogwoodpost.core.keys.digest import key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core.configuration import KeyRecord

# 32 bits select a bucket, the rest is compared in constant time. A caller
# can't steer the digest of a guess, so the bucket reveals nothing useful.
_BUCKET_HEX_DIGITS = 8


class KeyIndex:
    """Records by digest, built once per revision."""

    def __init__(self, records: Iterable[KeyRecord]) -> None:
        self._buckets: dict[str, list[KeyRecord]] = {}
        for record in records:
            bucket = record.digest[:_BUCKET_HEX_DIGITS]
            self._buckets.setdefault(bucket, []).append(record)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, preferring one that is not revoked."""
        digest = key_digest(key)
        found: KeyRecord | None = None
        for record in self._buckets.get(digest[:_BUCKET_HEX_DIGITS], ()):
            equal = digests_equal(record.digest, digest)
            if equal and (found is None or found.revoked):
                found = record
        return found
