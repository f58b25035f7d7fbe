"""Persistence of batch jobs in the row store and the object store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.decoding import decode_msgpack_row
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.rows import commit_rows
from dogwoodpost.services.rows import TransactionSize

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

MAX_RESULT_COUNT = 40
# In Base64 this takes 0.8 of the 1 MB that a transaction may have.
MAX_INLINE_BYTES = 600_000
# Larger jobs are split into objects; the object store accepts up to 8 MiB
# for each.
_MAX_OBJECT_BYTES = 4 * 1024 * 1024
_MAX_DELETE_COUNT = 90
_OBJECT_LIST_KEY = 'objects'
_MAX_PUT_COUNT = 3


class _ObjectList(msgspec.Struct, frozen=True):
    """Names of the objects that hold a large job, in order."""

    names: tuple[str, ...]


class StoredHead(msgspec.Struct, frozen=True):
    """A head and its row version."""

    head: JobHead
    version: int


class JobStore:
    """Reads and writes jobs, heads and results."""

    def __init__(
        self,
        rows: RowStore,
        objects: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._rows = rows
        self._objects = objects
        self._clock = clock
        self._rng = rng

    async def accept(
        self,
        job: BatchJob,
        head: JobHead,
        deadline_s: float,
        allowed_regions: AllowedRegions = ANY_REGION,
    ) -> int:
        """Store a new job; return the version of its head.

        :param allowed_regions: regions through which the bodies may pass.
        :raises RowConflictError: the job is stored already.
        :raises StoreOutcomeUnknownError: the job may be stored, now or later.
        :raises StoreUnavailableError: the job is not stored.
        """
        writes = [job_rows.head_write(job.job_id, head)]
        data = msgspec.msgpack.encode(job)
        if len(data) <= MAX_INLINE_BYTES:
            writes += job_rows.chunk_writes(
                job.job_id, job_rows.SPEC_PREFIX, job
            )
        else:
            names = await self._put_objects(job.job_id, data, allowed_regions)
            writes += job_rows.chunk_writes(
                job.job_id, _OBJECT_LIST_KEY, _ObjectList(names)
            )
        checks = [RowCheck(job_rows.head_key(job.job_id), 0)]
        return await commit_rows(
            self._rows.within(allowed_regions),
            checks,
            writes,
            clock=self._clock,
            rng=self._rng,
            deadline_s=deadline_s,
        )

    async def load(
        self, job_id: ids.JobId, allowed_regions: AllowedRegions = ANY_REGION
    ) -> BatchJob | None:
        """Return a job, or None if there is none.

        :param allowed_regions: regions through which the bodies may pass.
        """
        store = self._rows.within(allowed_regions)
        rows = await self._read_all(job_id, job_rows.SPEC_PREFIX, store)
        for job in job_rows.joined_values(rows, BatchJob):
            return job
        rows = await self._read_all(job_id, _OBJECT_LIST_KEY)
        for object_list in job_rows.joined_values(rows, _ObjectList):
            return await self._load_objects(object_list, allowed_regions)
        return None

    async def read_head(self, job_id: ids.JobId) -> StoredHead | None:
        """Return a job's head, or None if there is no such job."""
        page = await self._rows.read(job_rows.HEAD_TABLE, job_id)
        for row in page.rows:
            if row.value is not None:
                return StoredHead(job_rows.decode_head(row.value), row.version)
        return None

    def fitting_count(
        self, job_id: ids.JobId, head: JobHead, results: Sequence[ItemResult]
    ) -> int:
        """Return how many of the results one transaction can hold.

        It is at least 1: a result that does not fit alone is for the store to
        refuse.
        """
        size = TransactionSize().plus([job_rows.head_write(job_id, head)])
        for count, result in enumerate(results[:MAX_RESULT_COUNT]):
            size = size.plus(
                job_rows.result_writes(
                    job_id, head.listed_count + count, result
                )
            )
            if not size.is_allowed(check_count=1):
                return max(count, 1)
        return min(len(results), MAX_RESULT_COUNT)

    async def write_head(
        self,
        job_id: ids.JobId,
        expected_version: int,
        head: JobHead,
        results: Sequence[ItemResult],
        deadline_s: float,
    ) -> int:
        """Replace a head and store the last results that it counts.

        The results get the positions before the head's ``listed_count``.

        :raises RowConflictError: the head has changed.
        :raises StoreRejectedError: the store refuses the results.
        :raises StoreError: the outcome is unknown, or nothing has changed.
        """
        writes = [job_rows.head_write(job_id, head)]
        first_position = head.listed_count - len(results)
        for position, result in enumerate(results, first_position):
            writes += job_rows.result_writes(job_id, position, result)
        checks = [RowCheck(job_rows.head_key(job_id), expected_version)]
        return await self._commit(checks, writes, deadline_s)

    async def results(
        self, job_id: ids.JobId, first_position: int
    ) -> list[ItemResult]:
        """Return results from a position on, as many as one read returns."""
        page = await self._rows.read(
            job_rows.DATA_TABLE,
            job_id,
            start=job_rows.result_prefix(first_position),
            end=f'{job_rows.RESULT_PREFIX}/~',
        )
        return list(job_rows.joined_values(page.rows, ItemResult))

    async def delete(
        self, job_id: ids.JobId, head_version: int, deadline_s: float
    ) -> None:
        """Delete all rows and objects of a job, the head last.

        A delayed deletion has no effect on a job that is stored again.

        :raises RowConflictError: the head has changed.
        """
        checks = [RowCheck(job_rows.head_key(job_id), head_version)]
        rows = await self._read_all(job_id, _OBJECT_LIST_KEY)
        for object_list in job_rows.joined_values(rows, _ObjectList):
            for name in object_list.names:
                await self._objects.delete(name)
        while True:
            page = await self._rows.read(
                job_rows.DATA_TABLE, job_id, limit=_MAX_DELETE_COUNT
            )
            if not page.rows:
                break
            writes = [RowWrite(row.key, None) for row in page.rows]
            await self._commit(checks, writes, deadline_s)
        await self._commit(
            checks, [RowWrite(job_rows.head_key(job_id), None)], deadline_s
        )

    async def _read_all(
        self, job_id: ids.JobId, prefix: str, store: RowStore | None = None
    ) -> list[VersionedRow]:
        store = store or self._rows
        rows: list[VersionedRow] = []
        start = prefix + '/'
        while True:
            page = await store.read(
                job_rows.DATA_TABLE, job_id, start=start, end=prefix + '/~'
            )
            rows += page.rows
            if not page.truncated or not page.rows:
                return rows
            start = page.rows[-1].key.key + '\0'

    async def _put_objects(
        self, job_id: ids.JobId, data: bytes, allowed_regions: AllowedRegions
    ) -> tuple[str, ...]:
        objects = self._objects.within(allowed_regions)
        names = []
        for number, start in enumerate(range(0, len(data), _MAX_OBJECT_BYTES)):
            name = f'job-{job_id}-{number}'
            part = data[start : start + _MAX_OBJECT_BYTES]
            await _put_object(objects, name, part)
            names.append(name)
        return tuple(names)

    async def _load_objects(
        self, object_list: _ObjectList, allowed_regions: AllowedRegions
    ) -> BatchJob:
        objects = self._objects.within(allowed_regions)
        parts = []
        for name in object_list.names:
            part = await objects.get(name)
            if part is None:
                raise StoreUnavailableError(f'object {name} is missing')
            parts.append(part)
        return decode_msgpack_row(b''.join(parts), BatchJob)

    async def _commit(
        self,
        checks: Sequence[RowCheck],
        writes: Sequence[RowWrite],
        deadline_s: float,
    ) -> int:
        return await commit_rows(
            self._rows,
            checks,
            writes,
            clock=self._clock,
            rng=self._rng,
            deadline_s=deadline_s,
        )


async def _put_object(objects: ObjectStore, name: str, data: bytes) -> None:
    """Store an object, again if the response is lost.

    A second copy has no effect, and an object without the head of a job is
    never read, so an unknown outcome means that the job is not stored.

    :raises StoreUnavailableError: the object may be missing.
    """
    for _ in range(_MAX_PUT_COUNT):
        try:
            await objects.put(name, data)
        except StoreOutcomeUnknownError as error:
            failure = error
        else:
            return
    raise StoreUnavailableError(str(failure)) from failure
