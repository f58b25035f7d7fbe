"""The table service as one partition of the row store."""

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

# Follows each key that starts with a prefix.
_AFTER_ALL = '\U0010ffff'


class PartitionTableStore(TableStore):
    """Rows of one table without partitions.

    The row store knows no operation ids. A repeat is recognised by rows that
    already hold what it writes, so values have to name their writer.
    """

    def __init__(self, rows: RowStore, table: str) -> None:
        self._rows = rows
        self._table = table

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist, read at one point in time."""
        if not keys:
            return {}
        wanted = frozenset(keys)
        rows = await self._range(min(keys), max(keys) + '\0', None)
        return {row.key: row for row in rows if row.key in wanted}

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 500
    ) -> list[Row]:
        """Return rows under a prefix in key order, after a key."""
        start = max(prefix, after + '\0') if after else prefix
        return await self._range(start, prefix + _AFTER_ALL, limit)

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return the new versions."""
        row_writes = [
            RowWrite(self._key(write.key), write.value) for write in writes
        ]
        row_checks = [
            RowCheck(self._key(check.key), check.version) for check in checks
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

    async def _range(
        self, start: str, end: str, limit: int | None
    ) -> list[Row]:
        """Return the rows of a range; the store returns some at a time.

        :param limit: largest number of rows, None for all.
        """
        rows: list[Row] = []
        while limit is None or len(rows) < limit:
            fields = {} if limit is None else {'limit': limit - len(rows)}
            page = await self._rows.read(
                self._table, '', start=start, end=end, **fields
            )
            rows += [_row(row) for row in page.rows]
            if not page.truncated or not page.rows:
                break
            start = rows[-1].key + '\0'
        return rows

    def _key(self, key: str) -> RowKey:
        return RowKey(self._table, '', key)


def _row(row: VersionedRow) -> Row:
    return Row(row.key.key, row.value or b'', row.version)
