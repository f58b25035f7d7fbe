"""Keys that hold for a time."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

_Key = TypeVar('_Key')


class ExpiringKeys(Generic[_Key]):
    """Remembers each key until its own time, on the process's clock."""

    def __init__(self) -> None:
        self._until_s: dict[_Key, float] = {}

    def add(self, key: _Key, until_s: float) -> None:
        """Hold a key until a time; the last call for it counts."""
        self._until_s[key] = until_s

    def discard(self, key: _Key) -> None:
        """Hold a key no longer; an unknown one has no effect."""
        self._until_s.pop(key, None)

    def current(self, now_s: float) -> frozenset[_Key]:
        """Return the keys that hold now, and forget the others."""
        self._until_s = {
            key: until_s
            for key, until_s in self._until_s.items()
            if now_s < until_s
        }
        return frozenset(self._until_s)
