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
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobState
from dogwoodpost.core.batches import ResultState
from dogwoodpost.core.batches.group_needs import GroupNeeds
from dogwoodpost.core.batches.listing_schedule import ListingSchedule
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreRejectedError
from dogwoodpost.services.batches.group_checkpoints import GroupCheckpoints
from dogwoodpost.services.batches.item_run import ItemRun
from dogwoodpost.services.batches.item_starter import ItemStarter
from dogwoodpost.services.batches.item_starter import ordered_batches
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.limited_write import LimitedWrite

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core.batches import BatchItem
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemProgress
    from dogwoodpost.services.batches.batch_context import BatchContext

_log = structlog.get_logger(__name__)
_STORE_RETRY_DELAY_S = 0.2
_HAND_OVER_TIMEOUT_S = 0.8
# Shortest time until a result is written again that the store has refused.
_REJECTED_DELAY_S = 5.0


class JobWorker:
    """Runs the items of a job that have no result yet.

    A result is listed once it is stored with a position in the job's results.
    Every change of the job is a transaction on its head row. A conflict means
    that the job was ended or that another process runs it now.

    :param listed_item_ids: items whose results are already listed.
    :param on_listed: called after each transaction with the new head and the
        results that the transaction listed.
    """

    def __init__(
        self,
        context: BatchContext,
        job: BatchJob,
        stored_head: StoredHead,
        listed_item_ids: Iterable[ids.ItemId],
        on_listed: Callable[[StoredHead, list[ItemResult]], None],
    ) -> None:
        self._context = context
        self.job = job
        self._stored_head = stored_head
        # When each item was listed, on the process's clock; -inf for items
        # listed before this run.
        self._listed_at_s = dict.fromkeys(listed_item_ids, -math.inf)
        self._schedule = ListingSchedule(job, self._listed_at_s)
        self._needs = GroupNeeds(job, self._listed_at_s)
        self._on_listed = on_listed
        self._pending: list[ItemResult] = []
        self._wake_event = asyncio.Event()
        self._run_ended = asyncio.Event()
        self._is_handing_over = False
        self._write = LimitedWrite()
        # Lowered after the store has refused a transaction.
        self._max_batch_count: int | None = None
        self._item_tasks: set[asyncio.Task[None]] = set()
        self._auxiliary_tasks: list[asyncio.Task[Any]] = []
        self._checkpoints = GroupCheckpoints(
            context.archive, context.clock, job, self._listed_at_s
        )
        self._starter = ItemStarter(
            ordered_batches(
                job.items, self._listed_at_s, self._expected_tokens
            ),
            self._load_progress,
            self._start_items,
            lambda: context.max_started_count(job.route_name),
        )

    @property
    def running_count(self) -> int:
        """Return how many items have no result yet."""
        return self._starter.waiting_count + len(self._item_tasks)

    async def run(self) -> None:
        """Run until all items are listed, or the job ends or changes owner."""
        needs = self._context.dispatcher.needs
        try:
            with needs.registered(self.job.job_id, self._needs):
                await self._run_to_end()
        finally:
            self._run_ended.set()
            self._cancel_items()
            for auxiliary_task in self._auxiliary_tasks:
                auxiliary_task.cancel()
            self._log_end()

    async def _run_to_end(self) -> None:
        await self._starter.start_first()
        self._spawn_auxiliary(self._starter.start_rest())
        checkpoint_task = self._spawn_auxiliary(
            self._checkpoints.write_checkpoints()
        )
        await self._list_results()
        checkpoint_task.cancel()
        self._cancel_items()
        await self._clean_up()

    async def _list_results(self) -> None:
        """List results until the job is complete or has another owner."""
        while self._owns_job() and not self._stored_head.head.is_complete:
            await self._wait_for_results()
            while self._pending and self._owns_job():
                if not await self._list_next_batch():
                    break
            self._schedule.note_listed(self._context.clock.monotonic_s())
            if self._is_handing_over:
                return

    async def _wait_for_results(self) -> None:
        """Wait until results are due for listing or the job's head changes."""
        clock = self._context.clock
        await self._wake_event.wait()
        self._wake_event.clear()
        while self._owns_job() and not self._is_handing_over:
            wait_s = self._schedule.wait_s(clock.monotonic_s())
            if wait_s <= 0.0:
                return
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake_event.wait()
            self._wake_event.clear()

    async def _clean_up(self) -> None:
        """Save texts that a later run may need, and delete all others."""
        if self._stored_head.head.state is JobState.ENDED:
            await self._checkpoints.archive()
        elif self._stored_head.head.is_complete:
            await self._checkpoints.delete_all()
        elif self._owns_job():
            await self._checkpoints.archive()
            await self._write_hand_over()

    def _cancel_items(self) -> None:
        self._starter.stop()
        for task in self._item_tasks:
            task.cancel()

    def update_head(self, stored_head: StoredHead) -> None:
        """Use a newer head that ends the job or gives it another owner.

        All other heads of the job are written by this worker itself.
        """
        if (
            stored_head.version > self._stored_head.version
            and not self._assigns_job_here(stored_head)
        ):
            self._stored_head = stored_head
            self._cancel_items()
            self._write.limit(0.0)
            self._wake_event.set()

    async def hand_over(self) -> None:
        """Stop running the job and release it to other processes."""
        self._is_handing_over = True
        self._write.limit(_HAND_OVER_TIMEOUT_S)
        self._wake_event.set()
        await self._run_ended.wait()

    async def _write_hand_over(self) -> None:
        head = msgspec.structs.replace(
            self._stored_head.head, owner_id=ids.ProcessId('')
        )
        deadline_s = self._context.clock.monotonic_s() + _HAND_OVER_TIMEOUT_S
        try:
            version = await self._context.store.write_head(
                self.job.job_id,
                self._stored_head.version,
                head,
                (),
                deadline_s,
            )
        except StoreError as error:
            # Other processes take the job over once this process is gone.
            _log.warning(
                'job_not_handed_over',
                job_id=self.job.job_id,
                error=str(error),
            )
            return
        self._stored_head = StoredHead(head, version)
        _log.info('job_handed_over', job_id=self.job.job_id, version=version)

    def _assigns_job_here(self, stored_head: StoredHead) -> bool:
        """Return whether the job is open and owned by this process."""
        identity = self._context.identity
        head = stored_head.head
        return head.state is JobState.OPEN and head.belongs_to(
            identity.process_id, identity.incarnation
        )

    def _owns_job(self) -> bool:
        return self._assigns_job_here(self._stored_head)

    def _expected_tokens(self, item: BatchItem) -> int:
        return self._context.lengths.expected_tokens(
            item.expected_token_count, longest_event_count=0
        )

    async def _load_progress(
        self, group_id: ids.GroupId | None
    ) -> Mapping[ids.ItemId, ItemProgress]:
        """Return the saved progress of a group, none if it is too late."""
        if self._remaining_lifetime_s() <= 0.0:
            return {}
        return await self._checkpoints.load(group_id)

    def _start_items(
        self,
        items: Sequence[BatchItem],
        saved_progress: Mapping[ids.ItemId, ItemProgress],
    ) -> None:
        if not self._owns_job():
            # The job ended while the saved texts were being read.
            return
        for item in items:
            if item.item_id in self._listed_at_s:
                self._starter.note_ended([item.item_id])
                continue
            run = ItemRun(
                self._context,
                self.job,
                item,
                saved_progress.get(item.item_id),
            )
            self._checkpoints.add_run(run)
            task = asyncio.get_running_loop().create_task(self._run_item(run))
            self._item_tasks.add(task)
            task.add_done_callback(self._on_item_done)

    def _spawn_auxiliary(
        self, work: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._auxiliary_tasks.append(task)
        return task

    def _on_item_done(self, task: asyncio.Task[None]) -> None:
        self._item_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error('item_crashed', exc_info=task.exception())

    async def _run_item(self, run: ItemRun) -> None:
        result = await run.run()
        if result.item_id in self._listed_at_s:
            # Another process or an earlier transaction has listed a result.
            return
        self._pending.append(result)
        self._note_finished(result.item_id)
        self._wake_event.set()

    def _note_finished(self, item_id: ids.ItemId) -> None:
        self._schedule.note_finished(item_id)
        self._needs.note_finished(item_id)

    async def _list_next_batch(self) -> bool:
        """List as many pending results as fit in one transaction.

        :returns: False if the write was abandoned because the job has ended,
            has another owner or is being handed over.
        """
        batch = self._next_batch()
        timeout_s = _HAND_OVER_TIMEOUT_S if self._is_handing_over else None
        try:
            async with self._write.running(timeout_s):
                await self._write_batch(batch)
        except TimeoutError:
            _log.info(
                'listing_abandoned',
                job_id=self.job.job_id,
                results=len(batch),
            )
            return False
        return True

    async def _write_batch(self, batch: list[ItemResult]) -> None:
        """Write results and the head that counts them."""
        head = self._stored_head.head
        new_head = msgspec.structs.replace(
            head, listed_count=head.listed_count + len(batch)
        )
        try:
            version = await self._context.store.write_head(
                self.job.job_id,
                self._stored_head.version,
                new_head,
                batch,
                math.inf,
            )
        except RowConflictError:
            await self._resolve_conflict()
            return
        except StoreRejectedError as error:
            self._note_rejected(batch, error)
            return
        except StoreError as error:
            _log.warning(
                'results_not_listed',
                job_id=self.job.job_id,
                error=str(error),
            )
            await self._context.clock.sleep(_STORE_RETRY_DELAY_S)
            return
        self._max_batch_count = None
        del self._pending[: len(batch)]
        self._note_listed(batch)
        self._stored_head = StoredHead(new_head, version)
        self._on_listed(self._stored_head, batch)

    def _note_listed(self, results: Sequence[ItemResult]) -> None:
        now_s = self._context.clock.monotonic_s()
        for result in results:
            self._listed_at_s.setdefault(result.item_id, now_s)
            self._note_finished(result.item_id)
        self._starter.note_ended(result.item_id for result in results)

    def _next_batch(self) -> list[ItemResult]:
        count = self._context.store.fitting_count(
            self.job.job_id, self._stored_head.head, self._pending
        )
        return self._pending[: min(count, self._max_batch_count or count)]

    def _note_rejected(
        self, batch: list[ItemResult], error: StoreRejectedError
    ) -> None:
        """Write fewer results next; put aside one that is refused alone."""
        _log.error(
            'results_rejected',
            job_id=self.job.job_id,
            results=len(batch),
            first_item_id=batch[0].item_id,
            error=str(error),
        )
        self._max_batch_count = max(len(batch) // 2, 1)
        if len(batch) == 1:
            self._pending.remove(batch[0])
            self._starter.note_ended([batch[0].item_id])
            self._spawn_auxiliary(self._give_up_later(batch[0].item_id))

    async def _give_up_later(self, item_id: ids.ItemId) -> None:
        """List an item as errored once its lifetime has ended.

        Before that, an item must not be given up.
        """
        await self._context.clock.sleep(
            max(self._remaining_lifetime_s(), _REJECTED_DELAY_S)
        )
        self._pending.append(
            ItemResult(item_id=item_id, state=ResultState.ERRORED)
        )
        self._note_finished(item_id)
        self._wake_event.set()

    async def _resolve_conflict(self) -> None:
        """Read the current head and the results listed since."""
        store = self._context.store
        try:
            stored_head = await store.read_head(self.job.job_id)
            if stored_head is None:
                return
            results = await store.results(
                self.job.job_id, self._stored_head.head.listed_count
            )
        except StoreError as error:
            _log.info('job_not_read', job_id=self.job.job_id, error=str(error))
            await self._context.clock.sleep(_STORE_RETRY_DELAY_S)
            return
        self._note_listed(results)
        self._pending = [
            result
            for result in self._pending
            if result.item_id not in self._listed_at_s
        ]
        self._stored_head = stored_head
        _log.info(
            'job_conflict_resolved',
            job_id=self.job.job_id,
            version=stored_head.version,
            owner=stored_head.head.owner_id,
            state=stored_head.head.state.value,
            listed=stored_head.head.listed_count,
        )

    def _remaining_lifetime_s(self) -> float:
        end_s = self.job.accepted_wall_s + self.job.item_lifetime_s
        return end_s - self._context.clock.wall_s()

    def _log_end(self) -> None:
        head = self._stored_head.head
        _log.info(
            'job_run_ended',
            job_id=self.job.job_id,
            version=self._stored_head.version,
            owner=head.owner_id,
            state=head.state.value,
            listed=head.listed_count,
            total=head.total_count,
            unfinished=self.running_count,
            age_ms=round(
                (self._context.clock.wall_s() - self.job.accepted_wall_s)
                * 1_000
            ),
        )
