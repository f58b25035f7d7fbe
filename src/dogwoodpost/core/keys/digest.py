"""Digests of keys."""

from __future__ import annotations

import hashlib
import hmac


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored, in hexadecimal.

    Keys are issued at random with at least 128 bits, so a single SHA-256
    without salt can't be reversed by guessing.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def digests_equal(left: str, right: str) -> bool:
    """Compare two digests in time that does not depend on their content."""
    return hmac.compare_digest(left.encode(), right.encode())
