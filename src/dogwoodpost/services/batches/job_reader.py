"""Answers clients that read batch jobs, results and bodies of items."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core.batches import ItemResult
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import StoreError
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.entry.refusals import memory_refusal
from dogwoodpost.services.entry.refusals import store_unavailable

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.job_cache import JobCache
    from dogwoodpost.services.batches.job_workers import JobWorkers
    from dogwoodpost.services.batches.result_cache import ResultCache

_log = structlog.get_logger(__name__)
# If the feed of heads has been silent for longer, heads are read from the
# store, so that readers don't wait for a feed that has failed.
_MAX_FEED_SILENCE_S = 1.5
# Share of the time to settle by which a head may be out of date when a client
# is told that a job or a result does not exist. The rest is for the response.
_MAX_AGE_SHARE = 0.5
_RETRY_AFTER_S = 0.2
_MS_PER_S = 1_000


class ResultPage(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive results of a job.

    :param total_count: number of items of the job.
    :param next_position: position after the last result of the page.
    """

    total_count: int
    results: tuple[ItemResult, ...]
    next_position: int


class _KnownHead(msgspec.Struct, frozen=True):
    """What this process knows of a job's head.

    :param stored_head: the head, None if there is no such job.
    :param as_of_s: time up to which all changes are known, on the process's
        clock.
    """

    stored_head: StoredHead | None
    as_of_s: float


class JobReader:
    """Reads jobs from the copies that this process has, or from the store.

    A copy of a head may be out of date, so a client is told that a job or a
    result does not exist only if the head is known to be recent.

    :param settle_s: time within which all processes have to show what one of
        them has shown, in seconds.
    """

    def __init__(
        self,
        context: BatchContext,
        workers: JobWorkers,
        job_cache: JobCache,
        result_cache: ResultCache,
        *,
        settle_s: float,
    ) -> None:
        self._context = context
        self._workers = workers
        self._directory = workers.directory
        self._job_cache = job_cache
        self._result_cache = result_cache
        self._max_age_s = settle_s * _MAX_AGE_SHARE

    async def head(
        self, job_id: ids.JobId, client_account_id: ids.ClientAccountId | None
    ) -> StoredHead:
        """Return the head of a job of a client account.

        It may be out of date.

        :raises RequestError: the account has no such job, or the store can't
            be read.
        """
        known = await self._known_head(job_id, client_account_id)
        if known.stored_head is None:
            raise _unknown_job_error()
        return known.stored_head

    async def refresh(self, job_id: ids.JobId) -> None:
        """Read the head of a job from the store.

        :raises RequestError: the store can't be read.
        """
        await self._read_head(job_id)

    async def results(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        first_position: int,
        wait_s: float,
    ) -> ResultPage:
        """Return results from a position on.

        :param wait_s: how long to wait for a first result, in seconds.
        :raises RequestError: there is no such job, or it can't be read.
        """
        clock = self._context.clock
        end_s = clock.monotonic_s() + wait_s
        while True:
            known = await self._known_head(job_id, client_account_id)
            stored_head = known.stored_head
            if stored_head is None:
                raise _unknown_job_error()
            head = stored_head.head
            page_results = await self._results_from(
                job_id, first_position, head
            )
            if page_results or head.is_complete:
                return _page(head, first_position, page_results)
            remaining_s = end_s - clock.monotonic_s()
            if remaining_s > 0.0:
                await self._directory.wait_change(
                    job_id,
                    stored_head.version,
                    min(remaining_s, _MAX_FEED_SILENCE_S),
                )
                continue
            recent = await self._recent_head(job_id, known)
            if recent.stored_head == stored_head:
                self._log_no_results(job_id, first_position, recent)
                return _page(head, first_position, [])

    async def item_body(
        self,
        job_id: ids.JobId,
        client_account_id: ids.ClientAccountId | None,
        item_id: ids.ItemId,
    ) -> bytes:
        """Return the body of an item of an open job.

        :raises RequestError: there is no such item, or it can't be read.
        """
        stored_head = await self.head(job_id, client_account_id)
        job = await self._load(job_id, stored_head.head)
        if job is not None:
            for item in job.items:
                if item.item_id == item_id:
                    return item.body
        raise _unknown_job_error()

    async def _known_head(
        self, job_id: ids.JobId, client_account_id: ids.ClientAccountId | None
    ) -> _KnownHead:
        """Return what is known of the head of a job of a client account.

        Without such a job, that is known to be recent.

        :raises RequestError: the store can't be read.
        """
        known = _KnownHead(
            self._directory.get(job_id), self._directory.as_of_s
        )
        now_s = self._context.clock.monotonic_s()
        silence_s = now_s - self._directory.last_contact_s
        if known.stored_head is None or silence_s > _MAX_FEED_SILENCE_S:
            known = await self._read_head(job_id)
        if known.stored_head is None:
            return await self._recent_head(job_id, known)
        head = known.stored_head.head
        if head.client_account_id != client_account_id:
            return _KnownHead(None, known.as_of_s)
        return known

    async def _recent_head(
        self, job_id: ids.JobId, known: _KnownHead
    ) -> _KnownHead:
        """Return a head that is recent enough to say what does not exist.

        :raises RequestError: the store can't be read, or is too slow to be
            sure.
        """
        if self._is_recent(known):
            return known
        recent = await self._read_head(job_id)
        if not self._is_recent(recent):
            raise store_unavailable('the store is too slow to be sure')
        return recent

    def _is_recent(self, known: _KnownHead) -> bool:
        age_s = self._context.clock.monotonic_s() - known.as_of_s
        return age_s <= self._max_age_s

    async def _read_head(self, job_id: ids.JobId) -> _KnownHead:
        """Return a job's head from the store, or a newer one from its feed.

        :raises RequestError: the store can't be read.
        """
        start_s = self._context.clock.monotonic_s()
        try:
            stored_head = await self._context.store.read_head(job_id)
        except StoreError as error:
            raise store_unavailable(str(error)) from error
        if stored_head is not None:
            self._directory.update(job_id, stored_head)
        return _KnownHead(self._directory.get(job_id), start_s)

    async def _results_from(
        self, job_id: ids.JobId, first_position: int, head: JobHead
    ) -> list[ItemResult]:
        page_results = self._result_cache.page(job_id, first_position)
        if page_results or first_position >= head.listed_count:
            return page_results
        try:
            stored_results = await self._context.store.results(
                job_id, first_position
            )
        except StoreError as error:
            raise store_unavailable(str(error)) from error
        if not stored_results:
            raise _missing_results_error(job_id, first_position, head)
        self._result_cache.add(job_id, first_position, stored_results)
        return (
            self._result_cache.page(job_id, first_position)
            or stored_results[:1]
        )

    async def _load(self, job_id: ids.JobId, head: JobHead) -> BatchJob | None:
        """Return a job, None if there is none.

        :raises RequestError: it can't be read now.
        """
        job = self._workers.running_job(job_id)
        if job is not None:
            return job
        try:
            return await self._job_cache.get(
                job_id, head, self._context.head_regions(head)
            )
        except StoreError as error:
            raise store_unavailable(str(error)) from error
        except MemoryExceededError as error:
            raise memory_refusal(error) from error

    def _log_no_results(
        self, job_id: ids.JobId, first_position: int, known: _KnownHead
    ) -> None:
        if known.stored_head is None:
            return
        now_s = self._context.clock.monotonic_s()
        _log.info(
            'no_results',
            job_id=job_id,
            first_position=first_position,
            version=known.stored_head.version,
            listed=known.stored_head.head.listed_count,
            head_age_ms=round((now_s - known.as_of_s) * _MS_PER_S, 1),
            from_store=known.as_of_s != self._directory.as_of_s,
        )


def _page(
    head: JobHead, first_position: int, page_results: list[ItemResult]
) -> ResultPage:
    return ResultPage(
        total_count=head.total_count,
        results=tuple(page_results),
        next_position=first_position + len(page_results),
    )


def _missing_results_error(
    job_id: ids.JobId, first_position: int, head: JobHead
) -> RequestError:
    """Return the error for results that the head counts and nobody finds.

    The job is being deleted, or its head has changed since it was read.
    """
    _log.warning(
        'results_missing',
        job_id=job_id,
        first_position=first_position,
        listed=head.listed_count,
        state=head.state.value,
    )
    return RequestError(
        'results_missing',
        'the results can not be read now',
        status=503,
        not_run=True,
        retry_after_s=_RETRY_AFTER_S,
    )


def _unknown_job_error() -> RequestError:
    return RequestError(
        'unknown_job', 'there is no such batch job', status=404, not_run=True
    )
