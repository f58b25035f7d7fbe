"""Port: the platform's transactional table service."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids


class Row(msgspec.Struct, frozen=True):
    """A stored row; each write to its key increases ``version``."""

    key: str
    value: bytes
    version: int


class Check(msgspec.Struct, frozen=True):
    """Requires a row to have a version; 0 requires that no row exists."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row, or deletes it if ``value`` is None."""

    key: str
    value: bytes | None


class TableStore(abc.ABC):
    """Transactional access to rows with string keys.

    Every method may raise ``StoreUnavailableError``.
    """

    @abc.abstractmethod
    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, read at one point in time."""

    @abc.abstractmethod
    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Return rows with a prefix that follow ``after``, in key order.

        :param after: key that precedes the first row; empty for no bound.
        :param limit: largest number of rows to return.
        """

    @abc.abstractmethod
    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new versions.

        Repeating a call with the same operation id returns the first result
        and changes nothing.

        :raises StoreConflictError: a check failed; nothing changed.
        :raises StoreOutcomeUnknownError: the response was lost; repeat the
            call with the same operation id to learn the result.
        """
