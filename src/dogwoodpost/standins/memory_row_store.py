"""Row store in memory, with faults."""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.row_store import RowPage
from dogwoodpost.ports.row_store import RowStore
from dogwoodpost.ports.row_store import VersionedRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import RowCheck
    from dogwoodpost.ports.row_store import RowKey
    from dogwoodpost.ports.row_store import RowWrite

_MAX_ROW_COUNT = 500
_SLOW_ANSWER_S = 0.4


class RowFault(Enum):
    """What happens to a transaction instead of its normal course."""

    UNAVAILABLE = 'unavailable'
    ANSWER_LOST = 'answer_lost'
    APPLIED_LATE = 'applied_late'
    ANSWER_SLOW = 'answer_slow'


class MemoryRowStore(RowStore):
    """Keeps rows and their changes.

    Faults apply to the next commits, or to those of ``fault_table`` only.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, VersionedRow] = {}
        self.version = 0
        self.is_down = False
        self.faults: deque[RowFault | None] = deque()
        self.fault_table: str | None = None
        self.commit_count = 0
        self._late: list[tuple[Sequence[RowCheck], Sequence[RowWrite]]] = []
        self._changes: list[VersionedRow] = []
        self._first_change = 0
        self._changed = asyncio.Event()

    async def read(
        self,
        table: str,
        partition: str,
        *,
        start: str = '',
        end: str = '',
        limit: int = _MAX_ROW_COUNT,
    ) -> RowPage:
        """Return rows of a key range without its end, in key order."""
        self._check_up()
        found = sorted(
            (
                row
                for row in self.rows.values()
                if row.key.table == table
                and row.key.partition == partition
                and row.key.key >= start
                and (not end or row.key.key < end)
            ),
            key=lambda row: row.key.key.encode(),
        )
        count = min(limit, _MAX_ROW_COUNT)
        return RowPage(tuple(found[:count]), self.version, len(found) > count)

    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        self._check_up()
        found = {key.partition for key in self.rows if key.table == table}
        return sorted(found)

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply all writes if all checks hold; return the new version."""
        self._check_up()
        self.commit_count += 1
        fault = self._next_fault(writes)
        if fault is RowFault.UNAVAILABLE:
            raise StoreUnavailableError('the store refused the call')
        if fault is RowFault.APPLIED_LATE:
            self._late.append((checks, writes))
            raise StoreOutcomeUnknownError('no answer')
        version = self.apply(checks, writes)
        if fault is RowFault.ANSWER_LOST:
            raise StoreOutcomeUnknownError('the answer was lost')
        if fault is RowFault.ANSWER_SLOW:
            await asyncio.sleep(_SLOW_ANSWER_S)
        return version

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes of a table after a version."""
        self._check_up()
        if after < self._first_change:
            raise HistoryLostError(f'nothing is kept after {after}')
        rows = self._changes_of(table, after)
        if not rows and wait_s > 0.0:
            try:
                async with asyncio.timeout(wait_s):
                    while not rows:
                        await self._changed.wait()
                        rows = self._changes_of(table, after)
            except TimeoutError:
                rows = []
        self._check_up()
        return RowPage(tuple(rows), self.version)

    def apply(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Carry a transaction out.

        :raises RowConflictError: a check failed; nothing changed.
        """
        current = [self.rows.get(check.key) for check in checks]
        versions = [row.version if row else 0 for row in current]
        if versions != [check.version for check in checks]:
            raise RowConflictError([row for row in current if row])
        self.version += 1
        for write in writes:
            row = VersionedRow(write.key, write.value, self.version)
            self._changes.append(row)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = row
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def apply_late(self) -> None:
        """Carry out the transactions that were held back, if they hold."""
        late, self._late = self._late, []
        for checks, writes in late:
            try:
                self.apply(checks, writes)
            except RowConflictError:
                continue

    def forget_history(self) -> None:
        """Drop all changes so far; the rows stay."""
        self._changes.clear()
        self._first_change = self.version

    def _next_fault(self, writes: Sequence[RowWrite]) -> RowFault | None:
        if not self.faults:
            return None
        if self.fault_table is not None:
            tables = {write.key.table for write in writes}
            if self.fault_table not in tables:
                return None
        return self.faults.popleft()

    def _changes_of(self, table: str, after: int) -> list[VersionedRow]:
        return [
            row
            for row in self._changes
            if row.version > after and row.key.table == table
        ]

    def _check_up(self) -> None:
        if self.is_down:
            raise StoreUnavailableError('the store is down')
