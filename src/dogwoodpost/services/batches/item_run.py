"""Runs one batch item until it has a result.

The stream of an item may be received in several runs at different endpoints.
Each run resumes after the last event received before, if the versions allow.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import cast
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import ItemText
from dogwoodpost.core.batches import ResultState
from dogwoodpost.core.batches.item_failures import ItemFailures
from dogwoodpost.core.batches.item_length import ItemLength
from dogwoodpost.core.batches.run_timeouts import RunTimeouts
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.streams import StreamRun
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointSilentError
from dogwoodpost.ports.endpoint_gateway import EndpointCall
from dogwoodpost.ports.endpoint_gateway import EndpointNotRunError
from dogwoodpost.ports.endpoint_gateway import NotRunReason
from dogwoodpost.services.batches.item_moves import ItemMoves
from dogwoodpost.services.batches.item_scorer import ScoringFailedError
from dogwoodpost.services.batches.item_versions import ItemVersions
from dogwoodpost.services.batches.run_outcome import RunOutcome
from dogwoodpost.services.batches.run_reports import RunReports
from dogwoodpost.services.entry.service_choice import chosen_service

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core.batches import BatchItem
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemProgress
    from dogwoodpost.core.batches import StreamEvent
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.endpoint_slot import EndpointSlot

_STATUS_FAILED = 500
_STATUS_REJECTED = 422
# How long an endpoint that is overloaded or changing its weights gets no new
# items of the model.
_OVERLOADED_BLOCK_S = 0.25
_UNREACHABLE_BLOCK_S = 0.6
_NO_ROUTE_RETRY_DELAY_S = 0.2
# How long an item waits for another endpoint before it may return to one
# where it failed.
_FAILED_ENDPOINT_AVOIDANCE_S = 1.0


class ItemRun:
    """Runs one item at the process that owns its job.

    :param saved_progress: progress of earlier runs to resume from.
    """

    def __init__(
        self,
        context: BatchContext,
        job: BatchJob,
        item: BatchItem,
        saved_progress: ItemProgress | None = None,
    ) -> None:
        self._context = context
        self._job = job
        self._item = item
        self._text = ItemText(item.token_count or None)
        self._versions = ItemVersions(context, job, self._text)
        self._timeouts = RunTimeouts()
        self._interrupted_endpoint_id: ids.EndpointId | None = None
        self._is_text_complete = False
        self._score: str | None = None
        self._length = ItemLength(context.lengths, item.expected_token_count)
        self._moves = ItemMoves(context, self._length)
        self._reports = RunReports(context, job, item)
        if saved_progress is not None:
            self._restore(saved_progress)
        self._failures = ItemFailures(job.max_attempt_count)

    async def run(self) -> ItemResult:
        """Return the item's result.

        The result is errored if the item's lifetime ends first.
        """
        remaining_s = self._remaining_lifetime_s()
        try:
            async with asyncio.timeout(max(remaining_s, 0.0)):
                return await self._run_to_result()
        except TimeoutError:
            return self._errored_result('lifetime_over')

    @property
    def item(self) -> BatchItem:
        """Return the item."""
        return self._item

    @property
    def event_count(self) -> int:
        """Return the number of events received so far."""
        return self._text.event_count

    def progress(self) -> ItemProgress | None:
        """Return the progress to resume from, None without events."""
        progress = self._text.progress(
            self._item.item_id, is_complete=self._is_text_complete
        )
        scorer = self._item.scorer
        if progress is None or scorer is None or self._score is None:
            return progress
        return msgspec.structs.replace(
            progress, score=self._score, scorer_request_id=scorer.request_id
        )

    def _restore(self, saved_progress: ItemProgress) -> None:
        """Resume from earlier runs if their weight versions are allowed."""
        self._text.restore(saved_progress)
        self._length.note_event_count(self._text.event_count)
        if not self._versions.are_allowed():
            self._text.clear()
            return
        self._is_text_complete = saved_progress.is_complete
        scorer = self._item.scorer
        if scorer and scorer.request_id == saved_progress.scorer_request_id:
            self._score = saved_progress.score
        self._reports.log_restored(
            self._text.event_count,
            is_complete=self._is_text_complete,
            is_scored=self._score is not None,
        )

    async def _run_to_result(self) -> ItemResult:
        while not self._is_text_complete:
            run_outcome = await self._run_once()
            if run_outcome is RunOutcome.COMPLETED:
                self._is_text_complete = True
                self._length.record_end(self._text.event_count)
                self._moves.note_end(self._text.event_count)
            if run_outcome is RunOutcome.REJECTED:
                return self._errored_result('rejected_by_endpoint')
            if self._failures.is_final:
                return self._errored_result('failed_too_often')
        return await self._scored_result()

    async def _scored_result(self) -> ItemResult:
        if self._item.scorer is not None and self._score is None:
            try:
                self._score = await self._context.scorer.score(
                    self._item.scorer,
                    self._job.client_account_id,
                    self._accepted_at_s() + self._job.due_s,
                )
            except ScoringFailedError:
                return self._errored_result('scorer_failed')
        return ItemResult(
            item_id=self._item.item_id,
            state=ResultState.COMPLETED,
            text=self._text.text(),
            versions=self._text.versions(),
            score=self._score,
        )

    async def _run_once(self) -> RunOutcome:
        request = self._placement_request()
        if request is None:
            await self._context.clock.sleep(_NO_ROUTE_RETRY_DELAY_S)
            return RunOutcome.NOT_RUN
        slot = await self._context.dispatcher.acquire(request)
        if slot is None:
            return RunOutcome.NOT_RUN
        self._moves.begin_run()
        start_s = self._context.clock.monotonic_s()
        event_count = self._text.event_count
        run_outcome: RunOutcome | None = None
        failure: EndpointError | None = None
        try:
            run_outcome = await self._receive_stream(slot, request)
        except EndpointNotRunError as error:
            run_outcome = RunOutcome.NOT_RUN
            failure = error
            self._block_endpoint(slot, error.reason)
        except EndpointError as error:
            run_outcome = RunOutcome.BROKEN
            failure = error
        finally:
            failed = _is_endpoint_failure(run_outcome, failure)
            self._context.dispatcher.release(
                slot,
                request,
                conclusive=failed or run_outcome is RunOutcome.COMPLETED,
                failed=failed,
                timed_out=isinstance(failure, EndpointSilentError),
            )
            self._reports.log_run(
                slot,
                run_outcome,
                failure,
                start_s=start_s,
                event_count=self._text.event_count,
                move_fields=self._moves.log_fields(),
            )
        if run_outcome is RunOutcome.FAILED:
            self._failures.record(slot.endpoint.endpoint_id)
        elif run_outcome is RunOutcome.BROKEN:
            self._interrupted_endpoint_id = slot.endpoint.endpoint_id
            pause_s = self._timeouts.record_interruption(
                is_silent=isinstance(failure, EndpointSilentError),
                has_new_events=self._text.event_count > event_count,
            )
            await self._context.clock.sleep(pause_s)
        return run_outcome

    async def _receive_stream(
        self, slot: EndpointSlot, request: PlacementRequest
    ) -> RunOutcome:
        """Send the request to a slot's endpoint and receive its stream.

        :raises EndpointError: the run failed or its stream broke off.
        """
        if self._job.single_version or not self._versions.are_allowed():
            self._versions.clear_unusable_text(slot)
        self._reports.count_run()
        async with self._context.gateway.open(
            slot.endpoint, self._endpoint_call()
        ) as reply:
            if reply.status == _STATUS_FAILED:
                return RunOutcome.FAILED
            if reply.status == _STATUS_REJECTED:
                return RunOutcome.REJECTED
            stream_run = StreamRun(
                after=self._text.last_event_id, names_versions=True
            )
            stream_run.check_head(
                reply.status,
                reply.headers,
                reply.weight_version,
                ends_with_connection=reply.ends_with_connection,
            )
            if not self._versions.accept_reply(slot, reply.weight_version):
                return RunOutcome.VERSION_MISMATCH
            events = cast('AsyncGenerator[StreamEvent, None]', reply.events())
            async with aclosing(events):
                return await self._receive_events(
                    stream_run, events, slot, request
                )

    async def _receive_events(
        self,
        stream_run: StreamRun,
        events: AsyncGenerator[StreamEvent, None],
        slot: EndpointSlot,
        request: PlacementRequest,
    ) -> RunOutcome:
        clock = self._context.clock
        self._moves.begin_events(clock.monotonic_s())
        while True:
            try:
                async with asyncio.timeout(self._timeouts.idle_timeout_s):
                    event = await anext(events)
            except StopAsyncIteration:
                stream_run.check_end()
                return RunOutcome.COMPLETED
            except TimeoutError:
                raise EndpointSilentError(
                    f'no event for {self._timeouts.idle_timeout_s} s'
                ) from None
            stream_run.note_event(event.weight_version)
            self._text.add(event)
            if not self._versions.are_allowed():
                return RunOutcome.VERSION_MISMATCH
            now_s = clock.monotonic_s()
            self._moves.note_event(slot, now_s)
            if self._moves.moves_now(
                slot, request, self._text.event_count, now_s
            ):
                return RunOutcome.MOVED

    def _block_endpoint(
        self, slot: EndpointSlot, reason: NotRunReason
    ) -> None:
        duration_s = _UNREACHABLE_BLOCK_S
        if reason is NotRunReason.OVERLOADED:
            duration_s = _OVERLOADED_BLOCK_S
        self._context.dispatcher.block(
            slot.endpoint.endpoint_id, self._job.model, duration_s
        )

    def _endpoint_call(self) -> EndpointCall:
        remaining_s = self._remaining_lifetime_s()
        return EndpointCall(
            request_id=ids.RequestId(self._item.item_id),
            method='POST',
            path=self._item.path,
            headers=(('Host', self._job.host), *self._item.headers),
            body=self._item.body,
            timeout_s=max(remaining_s, 0.001),
            client_account_id=self._job.client_account_id,
            resume_after=self._text.last_event_id,
            head_timeout_s=self._timeouts.head_timeout_s,
            max_idle_s=self._timeouts.max_idle_s,
        )

    def _placement_request(self) -> PlacementRequest | None:
        """Return the item's requirements under the current configuration.

        None if the configuration has no route or service for the item.
        """
        routes = self._context.routes
        route = routes.find(self._job.host, self._item.path)
        if route is None:
            return None
        service = chosen_service(
            routes.configuration, route, ids.RequestId(self._item.item_id)
        )
        if service is None:
            return None
        event_count = self._text.event_count
        self._length.note_event_count(event_count)
        now_s = self._context.clock.monotonic_s()
        gap_s = self._moves.typical_gap_s(now_s)
        return PlacementRequest(
            service=service.name,
            model=self._job.model,
            min_version=self._job.min_version,
            due_s=self._accepted_at_s() + self._job.due_s,
            expected_token_count=self._length.expected_tokens(),
            expected_duration_s=self._length.events_left(event_count) * gap_s,
            expected_event_count=self._moves.placement_event_count(
                event_count
            ),
            avoided_endpoint_ids=self._failures.endpoint_ids,
            avoided_until_s=now_s + _FAILED_ENDPOINT_AVOIDANCE_S,
            interrupted_endpoint_id=self._interrupted_endpoint_id,
            allowed_regions=routes.allowed_regions(
                route.name, self._job.client_account_id
            ),
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            group_id=self._item.group_id,
            client_account_id=self._job.client_account_id,
        )

    def _accepted_at_s(self) -> float:
        """Return when the job was accepted, on the process's clock."""
        clock = self._context.clock
        age_s = max(clock.wall_s() - self._job.accepted_wall_s, 0.0)
        return clock.monotonic_s() - age_s

    def _remaining_lifetime_s(self) -> float:
        end_s = self._accepted_at_s() + self._job.item_lifetime_s
        return end_s - self._context.clock.monotonic_s()

    def _errored_result(self, reason: str) -> ItemResult:
        self._reports.log_errored(
            reason,
            failure_count=self._failures.count,
            event_count=self._text.event_count,
        )
        return ItemResult(
            item_id=self._item.item_id, state=ResultState.ERRORED
        )


def _is_endpoint_failure(
    run_outcome: RunOutcome | None, failure: EndpointError | None
) -> bool:
    """Return whether a run counts as a failure of its endpoint."""
    if isinstance(failure, EndpointNotRunError):
        return failure.reason is NotRunReason.UNREACHABLE
    return run_outcome in {RunOutcome.BROKEN, RunOutcome.FAILED}
