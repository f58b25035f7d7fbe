"""In-memory copy of the heads of all batch jobs."""

from __future__ import annotations

import asyncio
import math
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
    """Follows the feed of heads and notifies waiters of changes.

    ``last_contact_s`` is when the feed last answered, and all changes up to
    ``as_of_s`` are known, both on the process's clock.

    :param on_change: called with each new head, and with None when a job is
        deleted.
    """

    def __init__(
        self, on_change: Callable[[ids.JobId, StoredHead | None], None]
    ) -> None:
        self._on_change = on_change
        self._heads: dict[ids.JobId, StoredHead] = {}
        self._change_events: dict[ids.JobId, asyncio.Event] = {}
        self.last_contact_s = -math.inf
        self.as_of_s = -math.inf

    def get(self, job_id: ids.JobId) -> StoredHead | None:
        """Return a job's head, None if the directory has no such job."""
        return self._heads.get(job_id)

    def heads(self) -> list[tuple[ids.JobId, StoredHead]]:
        """Return all known heads."""
        return list(self._heads.items())

    def update(self, job_id: ids.JobId, stored_head: StoredHead) -> None:
        """Record a head that was read or written, unless it is outdated."""
        known_head = self._heads.get(job_id)
        if (
            known_head is not None
            and known_head.version >= stored_head.version
        ):
            return
        self._heads[job_id] = stored_head
        self._notify(job_id)
        self._on_change(job_id, stored_head)

    async def wait_change(
        self, job_id: ids.JobId, version: int, timeout_s: float
    ) -> None:
        """Wait until a head is newer than a version or the timeout ends."""
        known_head = self._heads.get(job_id)
        if known_head is not None and known_head.version > version:
            return
        event = self._change_events.setdefault(job_id, asyncio.Event())
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply changed rows of the feed."""
        for row in rows:
            self._apply_row(row)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply a full read of the heads; jobs without a row were deleted."""
        present_job_ids = {row.key.partition for row in rows}
        for job_id in [
            known_job_id
            for known_job_id in self._heads
            if known_job_id not in present_job_ids
        ]:
            self._remove(job_id)
        self.apply(rows, now_s)

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Record up to when all changes of the heads are known."""
        self.last_contact_s = now_s
        self.as_of_s = max(self.as_of_s, as_of_s)

    def _apply_row(self, row: VersionedRow) -> None:
        job_id = ids.JobId(row.key.partition)
        if row.value is None:
            self._remove(job_id)
            return
        head = decode_record(row, JobHead)
        if head is not None:
            self.update(job_id, StoredHead(head, row.version))

    def _remove(self, job_id: ids.JobId) -> None:
        if self._heads.pop(job_id, None) is not None:
            self._notify(job_id)
            self._on_change(job_id, None)

    def _notify(self, job_id: ids.JobId) -> None:
        event = self._change_events.pop(job_id, None)
        if event is not None:
            event.set()
