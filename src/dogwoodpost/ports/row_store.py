"""Port: a store of partitioned rows with transactions and a change feed."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.allowed_regions import AllowedRegions


class RowKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a row; a transaction covers one partition."""

    table: str
    partition: str
    key: str


class VersionedRow(msgspec.Struct, frozen=True):
    """A row; ``value`` is None if a change feed reports its deletion.

    ``version`` comes from one counter that increases with each transaction.
    """

    key: RowKey
    value: bytes | None
    version: int


class RowCheck(msgspec.Struct, frozen=True):
    """Requires a row to have a version; 0 requires that no row exists."""

    key: RowKey
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """Sets a row, or deletes it if ``value`` is None."""

    key: RowKey
    value: bytes | None


class RowPage(msgspec.Struct, frozen=True):
    """Rows read at one point in time, or changes up to a version.

    :param version: version of the store that the rows reflect.
    :param truncated: there are more rows in the range.
    """

    rows: tuple[VersionedRow, ...]
    version: int
    truncated: bool = False


class RowStore(abc.ABC):
    """Rows by table, partition and key.

    Every method may raise ``StoreUnavailableError``.
    """

    def within(self, allowed_regions: AllowedRegions) -> RowStore:
        """Return the same store, whose calls pass only through some regions.

        Stores that are called directly are not limited by it.
        """
        return self

    @abc.abstractmethod
    async def read(
        self,
        table: str,
        partition: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = 500,
    ) -> RowPage:
        """Return the rows of a key range in key order.

        :param start: first key of the range.
        :param end: first key after the range; empty for no upper bound.
        :param limit: largest number of rows to return."""

    @abc.abstractmethod
    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""

    @abc.abstractmethod
    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply all writes if all checks hold; return the new version.

        :raises RowConflictError: a check failed; nothing changed.
        :raises StoreRejectedError: the transaction is over the store's limits
            or malformed; nothing changed, and a repeat is refused too.
        :raises StoreOutcomeUnknownError: the response was lost. The
            transaction may still be applied later if its checks hold then.
        """

    @abc.abstractmethod
    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes to a table after a version.

        Waits up to ``wait_s`` seconds if there are none.

        :raises HistoryLostError: the store no longer keeps these changes.
        """


def applied_version(
    rows: Sequence[VersionedRow], writes: Sequence[RowWrite]
) -> int | None:
    """Return the version of a transaction that was already applied.

    After a lost response, a retry conflicts with the rows that the first
    attempt wrote. Returns None if a written row is missing from the
    conflicting rows or has another value there.

    :param rows: current rows that caused the conflict.
    :param writes: writes of the transaction.
    """
    current = {row.key: row for row in rows if row.value is not None}
    version = 0
    for write in writes:
        row = current.get(write.key)
        if write.value is None or row is None or row.value != write.value:
            return None
        version = max(version, row.version)
    return version or None
