"""Port: the platform's object store."""

from __future__ import annotations

import abc


class ObjectStore(abc.ABC):
    """Immutable objects by name.

    Every method may raise ``StoreUnavailableError``.
    """

    @abc.abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Store an object; repeating it with the same data has no effect."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""

    @abc.abstractmethod
    async def delete(self, name: str) -> None:
        """Delete an object; deleting a missing one has no effect."""
