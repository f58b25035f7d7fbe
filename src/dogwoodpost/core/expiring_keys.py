"""Set of keys that expire."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

_Key = TypeVar('_Key')


class ExpiringKeys(Generic[_Key]):
    """Set whose keys expire, each at its own time on the process's clock."""

    def __init__(self) -> None:
        self._until_s: dict[_Key, float] = {}

    def add(self, key: _Key, until_s: float) -> None:
        """Add a key that expires at a time; replaces its earlier expiry."""
        self._until_s[key] = until_s

    def discard(self, key: _Key) -> None:
        """Remove a key; an unknown key has no effect."""
        self._until_s.pop(key, None)

    def current(self, now_s: float) -> frozenset[_Key]:
        """Return the unexpired keys and remove the expired ones."""
        self._until_s = {
            key: until_s
            for key, until_s in self._until_s.items()
            if now_s < until_s
        }
        return frozenset(self._until_s)
