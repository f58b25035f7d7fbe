"""Digests of callers' keys and their comparison in constant time."""

from __future__ import annotations

from dogwoodpost.core.keys.digest import digests_equal
from dogwoodpost.core.keys.digest import key_digest
from dogwoodpost.core.keys.key_index import KeyIndex

__all__ = ('KeyIndex', 'digests_equal', 'key_digest')
