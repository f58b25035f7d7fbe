"""Table store in one partition of a row store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.ports.row_store import applied_version
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.ports.table_store import Row
from dogwoodpost.ports.table_store import TableStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Write

# A prefix plus this character sorts after all keys with the prefix.
_PREFIX_END = '\U0010ffff'


class PartitionTableStore(TableStore):
    """Stores rows in one table of a row store, without partitions.

    The row store has no operation ids. A commit counts as a repeat if the rows
    already hold the values that it writes, so each value must identify its
    writer.
    """

    def __init__(self, rows: RowStore, table: str) -> None:
        self._rows = rows
        self._table = table

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, read at one point in time."""
        if not keys:
            return {}
        requested_keys = frozenset(keys)
        rows = await self._read_range(min(keys), max(keys) + '\0', None)
        return {row.key: row for row in rows if row.key in requested_keys}

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 500
    ) -> list[Row]:
        """Return rows with a prefix that follow ``after``, in key order."""
        start = max(prefix, after + '\0') if after else prefix
        return await self._read_range(start, prefix + _PREFIX_END, limit)

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new versions."""
        row_writes = [
            RowWrite(self._row_key(write.key), write.value) for write in writes
        ]
        row_checks = [
            RowCheck(self._row_key(check.key), check.version)
            for check in checks
        ]
        try:
            version = await self._rows.commit(row_checks, row_writes)
        except RowConflictError as error:
            applied = applied_version(error.rows, row_writes)
            if applied is None:
                keys = [row.key.key for row in error.rows]
                raise StoreConflictError(keys) from error
            version = applied
        return {write.key: version for write in writes}

    async def _read_range(
        self, start: str, end: str, limit: int | None
    ) -> list[Row]:
        """Return the rows of a range, reading page by page.

        :param end: first key after the range.
        :param limit: largest number of rows, None for all.
        """
        rows: list[Row] = []
        while limit is None or len(rows) < limit:
            limit_argument = (
                {} if limit is None else {'limit': limit - len(rows)}
            )
            page = await self._rows.read(
                self._table, '', start=start, end=end, **limit_argument
            )
            rows += [_to_table_row(row) for row in page.rows]
            if not page.truncated or not page.rows:
                break
            start = rows[-1].key + '\0'
        return rows

    def _row_key(self, key: str) -> RowKey:
        return RowKey(self._table, '', key)


def _to_table_row(row: VersionedRow) -> Row:
    return Row(row.key.key, row.value or b'', row.version)
