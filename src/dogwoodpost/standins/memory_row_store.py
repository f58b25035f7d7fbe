"""In-memory row store with injected faults."""

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
_SLOW_RESPONSE_DELAY_S = 0.4


class RowFault(Enum):
    """Fault injected into one transaction."""

    UNAVAILABLE = 'unavailable'
    ANSWER_LOST = 'answer_lost'
    APPLIED_LATE = 'applied_late'
    ANSWER_SLOW = 'answer_slow'


class MemoryRowStore(RowStore):
    """In-memory row store that keeps the history of its changes.

    Each commit uses up the first element of ``faults``; None is no fault. If
    ``fault_table`` is set, only commits that write to this table do so.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, VersionedRow] = {}
        self.version = 0
        self.is_down = False
        self.faults: deque[RowFault | None] = deque()
        self.fault_table: str | None = None
        self.commit_count = 0
        self._deferred: list[
            tuple[Sequence[RowCheck], Sequence[RowWrite]]
        ] = []
        self._changes: list[VersionedRow] = []
        self._oldest_followable_version = 0
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
        """Return the rows of a half-open key range, in key order."""
        self._raise_if_down()
        matches = sorted(
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
        return RowPage(
            tuple(matches[:count]), self.version, len(matches) > count
        )

    async def partitions(self, table: str) -> list[str]:
        """Return the partitions of a table that have rows."""
        self._raise_if_down()
        partitions = {key.partition for key in self.rows if key.table == table}
        return sorted(partitions)

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply all writes if all checks hold; return the new version."""
        self._raise_if_down()
        self.commit_count += 1
        fault = self._next_fault(writes)
        if fault is RowFault.UNAVAILABLE:
            raise StoreUnavailableError('the store refused the transaction')
        if fault is RowFault.APPLIED_LATE:
            self._deferred.append((checks, writes))
            raise StoreOutcomeUnknownError('the store did not respond')
        version = self.apply(checks, writes)
        if fault is RowFault.ANSWER_LOST:
            raise StoreOutcomeUnknownError('the response was lost')
        if fault is RowFault.ANSWER_SLOW:
            await asyncio.sleep(_SLOW_RESPONSE_DELAY_S)
        return version

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes to a table since a version.

        :param wait_s: seconds to wait for a change if there is none yet.
        :raises HistoryLostError: changes since the version were dropped.
        """
        self._raise_if_down()
        if after < self._oldest_followable_version:
            raise HistoryLostError(
                f'changes after version {after} are not kept in full'
            )
        rows = self._changes_of(table, after)
        if not rows and wait_s > 0.0:
            try:
                async with asyncio.timeout(wait_s):
                    while not rows:
                        await self._changed.wait()
                        rows = self._changes_of(table, after)
            except TimeoutError:
                rows = []
        self._raise_if_down()
        return RowPage(tuple(rows), self.version)

    def apply(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> int:
        """Apply a transaction and return the new version.

        :raises RowConflictError: a check failed; no row was changed.
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
        """Apply the deferred transactions whose checks still hold."""
        deferred, self._deferred = self._deferred, []
        for checks, writes in deferred:
            try:
                self.apply(checks, writes)
            except RowConflictError:
                continue

    def forget_history(self) -> None:
        """Drop the history of changes; the rows stay."""
        self._changes.clear()
        self._oldest_followable_version = self.version

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

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreUnavailableError('the store is down')
