"""Stored texts of unfinished groups, for takeovers and later jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.batches import ItemProgress
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.rows import TransactionSize

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
# A job's items start without their saved texts if loading takes longer.
_LOAD_TIMEOUT_S = 0.5
_MAX_DELETE_COUNT = 80
_MAX_READ_PAGES = 8


class TextArchive:
    """Stores the progress of items by group.

    The archive only saves time. Each stored progress is a valid prefix of its
    item's text, so lost, late or repeated writes do not affect correctness.
    """

    def __init__(self, rows: RowStore) -> None:
        self._rows = rows

    async def load(
        self, group_id: ids.GroupId
    ) -> dict[ids.ItemId, ItemProgress]:
        """Return the progress of a group's items, empty if reading fails."""
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                rows = await self._read(group_id)
            values = list(job_rows.joined_values(rows, ItemProgress))
        except (TimeoutError, StoreError) as error:
            _log.info(
                'group_text_not_read', group_id=group_id, error=repr(error)
            )
            return {}
        return {progress.item_id: progress for progress in values}

    async def save(
        self, group_id: ids.GroupId, progress: Sequence[ItemProgress]
    ) -> None:
        """Store the progress of items of a group; failures are only logged."""
        batch: list[RowWrite] = []
        size = TransactionSize()
        for item_progress in progress:
            writes = job_rows.chunk_writes(
                group_id,
                item_progress.item_id,
                item_progress,
                job_rows.TEXT_TABLE,
            )
            if not TransactionSize().plus(writes).is_allowed():
                # The store would refuse it, now and at each later checkpoint.
                _log.info(
                    'item_text_too_long_to_store',
                    group_id=group_id,
                    item_id=item_progress.item_id,
                )
                continue
            if not size.plus(writes).is_allowed():
                await self._commit(group_id, batch)
                batch = []
                size = TransactionSize()
            batch += writes
            size = size.plus(writes)
        if batch:
            await self._commit(group_id, batch)

    async def delete(self, group_id: ids.GroupId) -> None:
        """Delete the progress of a group; failures are only logged."""
        try:
            rows = await self._read(group_id)
        except StoreError as error:
            _log.info(
                'group_text_not_deleted',
                group_id=group_id,
                error=str(error),
            )
            return
        for start in range(0, len(rows), _MAX_DELETE_COUNT):
            row_batch = rows[start : start + _MAX_DELETE_COUNT]
            await self._commit(
                group_id, [RowWrite(row.key, None) for row in row_batch]
            )

    async def _read(self, group_id: ids.GroupId) -> list[VersionedRow]:
        rows: list[VersionedRow] = []
        start = ''
        for _ in range(_MAX_READ_PAGES):
            page = await self._rows.read(
                job_rows.TEXT_TABLE, group_id, start=start
            )
            rows += page.rows
            if not page.truncated or not page.rows:
                break
            start = page.rows[-1].key.key + '\0'
        return rows

    async def _commit(
        self, group_id: ids.GroupId, writes: Sequence[RowWrite]
    ) -> None:
        try:
            await self._rows.commit([], writes)
        except StoreError as error:
            _log.info(
                'group_text_not_written',
                group_id=group_id,
                error=str(error),
            )
