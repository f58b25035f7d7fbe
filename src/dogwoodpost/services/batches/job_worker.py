"""Runs one batch job and lists its results."""

from __future__ import annotations

import asyncio
import math
from contextlib import suppress
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.batches import JobState
from dogwoodpost.core.batches.listing_schedule import ListingSchedule
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.services.batches.group_texts import GroupTexts
from dogwoodpost.services.batches.item_run import ItemRun
from dogwoodpost.services.batches.job_store import MAX_RESULT_BYTES
from dogwoodpost.services.batches.job_store import MAX_RESULT_COUNT
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.result_cache import size_bytes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core.batches import BatchItem
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemProgress
    from dogwoodpost.core.batches import ItemResult
    from dogwoodpost.services.batches.batch_context import BatchContext

_log = structlog.get_logger(__name__)
_RETRY_PAUSE_S = 0.2
# Groups whose texts are read later than this are started by themselves.
_TEXT_WAIT_S = 0.1
_HAND_OVER_TIMEOUT_S = 0.8


class JobWorker:
    """Runs the items that have no result yet.

    Every change of the job is a transaction on its head. A conflict means
    that the job was ended or that another process runs it now.

    :param on_listed: is called with each new head and the results before it.
    """

    def __init__(
        self,
        context: BatchContext,
        job: BatchJob,
        stored: StoredHead,
        listed: Iterable[ids.ItemId],
        on_listed: Callable[[StoredHead, list[ItemResult]], None],
    ) -> None:
        self._context = context
        self._job = job
        self._stored = stored
        # When each item was listed, on the process's clock.
        self._listed = dict.fromkeys(listed, -math.inf)
        self._schedule = ListingSchedule(job, self._listed)
        self._on_listed = on_listed
        self._pending: list[ItemResult] = []
        self._wake = asyncio.Event()
        self._ended = asyncio.Event()
        self._is_leaving = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._helpers: list[asyncio.Task[Any]] = []
        self._runs: dict[ids.ItemId, ItemRun] = {}
        self._texts = GroupTexts(
            context.archive, context.clock, job, self._runs, self._listed
        )

    @property
    def running_count(self) -> int:
        """Return how many items have no result yet."""
        return len(self._tasks)

    async def run(self) -> None:
        """Run until all items are listed, the job ends or moves away."""
        try:
            await self._start_items()
            checkpoints = self._spawn(self._texts.write_checkpoints())
            await self._list_results()
            checkpoints.cancel()
            self._cancel_items()
            await self._close()
        finally:
            self._ended.set()
            self._cancel_items()
            for helper in self._helpers:
                helper.cancel()
            self._log_end()

    async def _list_results(self) -> None:
        """List results until the job is complete or not run here."""
        while self._is_own() and not self._stored.head.is_complete:
            await self._wait_for_results()
            while self._pending and self._is_own():
                await self._list_some()
            self._schedule.note_listed(self._context.clock.monotonic_s())
            if self._is_leaving:
                return

    async def _wait_for_results(self) -> None:
        """Wait until results are due, or the job has changed otherwise."""
        clock = self._context.clock
        await self._wake.wait()
        self._wake.clear()
        while self._is_own() and not self._is_leaving:
            wait_s = self._schedule.wait_s(clock.monotonic_s())
            if wait_s <= 0.0:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
            self._wake.clear()

    async def _close(self) -> None:
        """Leave behind what others may need, and nothing else."""
        if self._stored.head.state is JobState.ENDED:
            await self._texts.archive()
        elif self._stored.head.is_complete:
            await self._texts.forget_all()
        elif self._is_own():
            await self._texts.archive()
            await self._write_hand_over()

    def _cancel_items(self) -> None:
        for task in self._tasks:
            task.cancel()

    def note_head(self, stored: StoredHead) -> None:
        """Take a head that this worker did not write."""
        if stored.version > self._stored.version and not self._is_kept(stored):
            self._stored = stored
            self._wake.set()

    async def hand_over(self) -> None:
        """Leave the rest of the job to other processes; return when done."""
        self._is_leaving = True
        self._wake.set()
        await self._ended.wait()

    async def _write_hand_over(self) -> None:
        head = msgspec.structs.replace(
            self._stored.head, owner_id=ids.ProcessId('')
        )
        deadline_s = self._context.clock.monotonic_s() + _HAND_OVER_TIMEOUT_S
        try:
            version = await self._context.store.write_head(
                self._job.job_id, self._stored.version, head, (), deadline_s
            )
        except StoreError as error:
            # The others take the job over when this process is gone.
            _log.warning(
                'job_not_handed_over',
                job_id=self._job.job_id,
                error=str(error),
            )
            return
        self._stored = StoredHead(head, version)
        _log.info('job_handed_over', job_id=self._job.job_id, version=version)

    def _is_kept(self, stored: StoredHead) -> bool:
        """Return whether a head leaves the job to this worker."""
        identity = self._context.identity
        head = stored.head
        return head.state is JobState.OPEN and head.belongs_to(
            identity.process_id, identity.incarnation
        )

    def _is_own(self) -> bool:
        return self._is_kept(self._stored)

    async def _start_items(self) -> None:
        """Start the items, each from what is known of its text."""
        groups: dict[ids.GroupId | None, list[BatchItem]] = {}
        for item in self._job.items:
            if item.item_id not in self._listed:
                groups.setdefault(item.group_id, []).append(item)
        loop = asyncio.get_running_loop()
        loads = {
            loop.create_task(self._texts.load(group_id)): items
            for group_id, items in groups.items()
        }
        self._helpers += loads
        if not loads:
            return
        # Started together, so that the longest items of all are the first.
        done, late = await asyncio.wait(loads, timeout=_TEXT_WAIT_S)
        for load in done:
            self._start_group(loads[load], load.result())
        for load in late:
            self._start_group(loads[load], await load)

    def _start_group(
        self,
        items: Iterable[BatchItem],
        earlier: Mapping[ids.ItemId, ItemProgress],
    ) -> None:
        for item in items:
            run = ItemRun(
                self._context, self._job, item, earlier.get(item.item_id)
            )
            self._runs[item.item_id] = run
            self._texts.note_started(run)
            task = asyncio.get_running_loop().create_task(self._run_item(run))
            self._tasks.add(task)
            task.add_done_callback(self._finished)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._helpers.append(task)
        return task

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('item_crashed', exc_info=task.exception())

    async def _run_item(self, run: ItemRun) -> None:
        result = await run.run()
        if result.item_id in self._listed:
            # Another process, or an earlier transaction, was first.
            return
        self._pending.append(result)
        self._schedule.note_finished(result.item_id)
        self._wake.set()

    async def _list_some(self) -> None:
        """Give positions to as many results as fit in one transaction."""
        batch = self._next_batch()
        head = self._stored.head
        new_head = msgspec.structs.replace(
            head, listed_count=head.listed_count + len(batch)
        )
        try:
            version = await self._context.store.write_head(
                self._job.job_id,
                self._stored.version,
                new_head,
                batch,
                math.inf,
            )
        except RowConflictError:
            await self._resolve_conflict()
            return
        except StoreError as error:
            _log.warning(
                'results_not_listed',
                job_id=self._job.job_id,
                error=str(error),
            )
            await self._context.clock.sleep(_RETRY_PAUSE_S)
            return
        del self._pending[: len(batch)]
        self._note_listed(batch)
        self._stored = StoredHead(new_head, version)
        self._on_listed(self._stored, batch)

    def _note_listed(self, results: Iterable[ItemResult]) -> None:
        now_s = self._context.clock.monotonic_s()
        for result in results:
            self._listed.setdefault(result.item_id, now_s)
            self._schedule.note_finished(result.item_id)

    def _next_batch(self) -> list[ItemResult]:
        batch: list[ItemResult] = []
        total_bytes = 0
        for result in self._pending[:MAX_RESULT_COUNT]:
            total_bytes += size_bytes(result)
            if batch and total_bytes > MAX_RESULT_BYTES:
                break
            batch.append(result)
        return batch

    async def _resolve_conflict(self) -> None:
        """Read the head that came first, and what is listed by now."""
        store = self._context.store
        try:
            stored = await store.read_head(self._job.job_id)
            if stored is None:
                return
            results = await store.results(
                self._job.job_id, self._stored.head.listed_count
            )
        except StoreError as error:
            _log.info(
                'job_not_read', job_id=self._job.job_id, error=str(error)
            )
            await self._context.clock.sleep(_RETRY_PAUSE_S)
            return
        self._note_listed(results)
        self._pending = [
            result
            for result in self._pending
            if result.item_id not in self._listed
        ]
        self._stored = stored
        _log.info(
            'job_conflict_resolved',
            job_id=self._job.job_id,
            version=stored.version,
            owner=stored.head.owner_id,
            state=stored.head.state.value,
            listed=stored.head.listed_count,
        )

    def _log_end(self) -> None:
        head = self._stored.head
        _log.info(
            'job_run_ended',
            job_id=self._job.job_id,
            version=self._stored.version,
            owner=head.owner_id,
            state=head.state.value,
            listed=head.listed_count,
            total=head.total_count,
            unfinished=len(self._tasks),
            age_ms=round(
                (self._context.clock.wall_s() - self._job.accepted_wall_s)
                * 1_000
            ),
        )
