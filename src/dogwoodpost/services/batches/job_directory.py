"""The heads of all batch jobs, as this process knows them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.batches import JobHead
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.rows import decode_record

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import VersionedRow


class JobDirectory:
    """Takes the feed of heads and wakes those who wait for a change."""

    def __init__(
        self, on_change: Callable[[ids.JobId, StoredHead | None], None]
    ) -> None:
        self._on_change = on_change
        self._heads: dict[ids.JobId, StoredHead] = {}
        self._changed: dict[ids.JobId, asyncio.Event] = {}
        self.contact_s = float('-inf')

    def get(self, job_id: ids.JobId) -> StoredHead | None:
        """Return a job's head, None if this process knows of no such job."""
        return self._heads.get(job_id)

    def heads(self) -> list[tuple[ids.JobId, StoredHead]]:
        """Return all known heads."""
        return list(self._heads.items())

    def learn(self, job_id: ids.JobId, stored: StoredHead) -> None:
        """Take a head that was read or written; older ones have no effect."""
        known = self._heads.get(job_id)
        if known is not None and known.version >= stored.version:
            return
        self._heads[job_id] = stored
        self._wake(job_id)
        self._on_change(job_id, stored)

    async def wait_change(
        self, job_id: ids.JobId, version: int, timeout_s: float
    ) -> None:
        """Wait until a head is newer than a version, or for a time."""
        known = self._heads.get(job_id)
        if known is not None and known.version > version:
            return
        event = self._changed.setdefault(job_id, asyncio.Event())
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Take changed heads."""
        for row in rows:
            self._take(row)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Take all heads; those that are missing were deleted."""
        present = {row.key.partition for row in rows}
        for job_id in [one for one in self._heads if one not in present]:
            self._forget(job_id)
        self.apply(rows, now_s)

    def note_contact(self, now_s: float) -> None:
        """Note that all heads are known as of now."""
        self.contact_s = now_s

    def _take(self, row: VersionedRow) -> None:
        job_id = ids.JobId(row.key.partition)
        if row.value is None:
            self._forget(job_id)
            return
        head = decode_record(row, JobHead)
        if head is not None:
            self.learn(job_id, StoredHead(head, row.version))

    def _forget(self, job_id: ids.JobId) -> None:
        if self._heads.pop(job_id, None) is not None:
            self._wake(job_id)
            self._on_change(job_id, None)

    def _wake(self, job_id: ids.JobId) -> None:
        event = self._changed.pop(job_id, None)
        if event is not None:
            event.set()
