"""Port: a store of rows in partitions, with transactions and a feed."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


class RowKey(msgspec.Struct, frozen=True, order=True):
    """Place of a row; a transaction covers one partition."""

    table: str
    partition: str
    key: str


class VersionedRow(msgspec.Struct, frozen=True):
    """A row; ``value`` is None where a feed tells of its deletion.

    ``version`` comes from one counter that rises with each transaction.
    """

    key: RowKey
    value: bytes | None
    version: int


class RowCheck(msgspec.Struct, frozen=True):
    """Requires a row's version; version 0 means that no row exists."""

    key: RowKey
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """Sets a row, or deletes it if ``value`` is None."""

    key: RowKey
    value: bytes | None


class RowPage(msgspec.Struct, frozen=True):
    """Rows as of one moment, or changes up to a version.

    :param truncated: there are more rows in the range.
    """

    rows: tuple[VersionedRow, ...]
    version: int
    truncated: bool = False


class RowStore(abc.ABC):
    """Rows by table, partition and key.

    Every method may raise ``StoreUnavailableError``.
    """

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
        """Return rows of a key range without its end, in key order."""

    @abc.abstractmethod
    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""

    @abc.abstractmethod
    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply all writes if all checks hold; return the new version.

        :raises RowConflictError: a check failed; nothing changed.
        :raises StoreOutcomeUnknownError: the answer was lost. The transaction
            may still be applied later if its checks hold then.
        """

    @abc.abstractmethod
    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes of a table after a version.

        Waits up to ``wait_s`` seconds if there are none.

        :raises HistoryLostError: the changes are no longer kept.
        """


def applied_version(
    rows: Sequence[VersionedRow], writes: Sequence[RowWrite]
) -> int | None:
    """Return the version of a transaction that has taken effect before.

    After a lost answer a repeat conflicts with the rows that the first try
    wrote. None if any of the writes is not among the conflicting rows as it
    was written.
    """
    current = {row.key: row for row in rows if row.value is not None}
    version = 0
    for write in writes:
        row = current.get(write.key)
        if write.value is None or row is None or row.value != write.value:
            return None
        version = max(version, row.version)
    return version or None
