"""Port: the platform's object store."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.allowed_regions import AllowedRegions


class ObjectStore(abc.ABC):
    """Immutable objects by name.

    Every method may raise ``StoreUnavailableError``.
    """

    def within(self, allowed_regions: AllowedRegions) -> ObjectStore:
        """Return the same store, whose calls pass only through some regions.

        Stores that are called directly are not limited by it.
        """
        return self

    @abc.abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Store an object; repeating it with the same data has no effect."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""

    @abc.abstractmethod
    async def delete(self, name: str) -> None:
        """Delete an object; deleting a missing one has no effect."""
