"""Runs one batch item until it has a result."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from enum import Enum
from typing import cast
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import ItemText
from dogwoodpost.core.batches import ResultState
from dogwoodpost.core.batches.item_failures import ItemFailures
from dogwoodpost.core.batches.run_timeouts import RunTimeouts
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointSilentError
from dogwoodpost.ports.endpoint_gateway import EndpointCall
from dogwoodpost.ports.endpoint_gateway import EndpointNotRunError
from dogwoodpost.ports.endpoint_gateway import NotRunReason
from dogwoodpost.services.batches.item_scorer import ScoringFailedError
from dogwoodpost.services.entry.service_choice import chosen_service

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core.batches import BatchItem
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import ItemProgress
    from dogwoodpost.core.batches import StreamEvent
    from dogwoodpost.ports.endpoint_gateway import EndpointReply
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.item_dispatcher import Place

_log = structlog.get_logger(__name__)
_STATUS_FAILED = 500
_STATUS_NEVER = 422
_MOVE_CHECK_S = 0.2
_MAX_MOVE_COUNT = 4
# A full endpoint, or one that changes its weights, is asked again later.
_FULL_PAUSE_S = 0.25
_UNREACHABLE_PAUSE_S = 0.6
_NO_ROUTE_PAUSE_S = 0.2
# An item that failed at an endpoint waits so long for another one.
_AVOID_S = 1.0


class _RunEnd(Enum):
    """How one run of an item ended."""

    COMPLETED = 'completed'
    FAILED = 'failed'
    NEVER = 'never'
    BROKEN = 'broken'
    NOT_RUN = 'not_run'
    MOVED = 'moved'
    UNFIT = 'unfit'


class ItemRun:
    """State of one item at the process that runs its job."""

    def __init__(
        self,
        context: BatchContext,
        job: BatchJob,
        item: BatchItem,
        earlier: ItemProgress | None = None,
    ) -> None:
        self._context = context
        self._job = job
        self._item = item
        self._text = ItemText(item.token_count or None)
        self._limits = RunTimeouts()
        self._last_broken: ids.EndpointId | None = None
        self._is_text_complete = False
        self._score: str | None = None
        self._longest_event_count = 0
        if earlier is not None:
            self._restore(earlier)
        self._failures = ItemFailures(job.max_attempt_count)
        self._move_count = 0
        self._run_count = 0

    async def run(self) -> ItemResult:
        """Return the item's result."""
        left_s = self._lifetime_left_s()
        try:
            async with asyncio.timeout(max(left_s, 0.0)):
                return await self._run()
        except TimeoutError:
            return self._errored('lifetime_over')

    @property
    def item(self) -> BatchItem:
        """Return the item."""
        return self._item

    @property
    def event_count(self) -> int:
        """Return the number of events so far."""
        return self._text.event_count

    def progress(self) -> ItemProgress | None:
        """Return what another run can go on from, None without events."""
        progress = self._text.progress(
            self._item.item_id, is_complete=self._is_text_complete
        )
        scorer = self._item.scorer
        if progress is None or scorer is None or self._score is None:
            return progress
        return msgspec.structs.replace(
            progress, score=self._score, scorer_request_id=scorer.request_id
        )

    def _restore(self, earlier: ItemProgress) -> None:
        """Go on from earlier runs, as far as their versions fit."""
        self._text.restore(earlier)
        self._longest_event_count = self._text.event_count
        if not self._fits():
            self._text.clear()
            return
        self._is_text_complete = earlier.is_complete
        scorer = self._item.scorer
        if scorer and scorer.request_id == earlier.scorer_request_id:
            self._score = earlier.score
        _log.info(
            'item_restored',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            events=self._text.event_count,
            complete=self._is_text_complete,
            scored=self._score is not None,
        )

    async def _run(self) -> ItemResult:
        while not self._is_text_complete:
            end = await self._run_once()
            if end is _RunEnd.COMPLETED:
                self._is_text_complete = True
                self._context.lengths.record(
                    self._item.expected_token_count, self._text.event_count
                )
            if end is _RunEnd.NEVER:
                return self._errored('rejected_by_endpoint')
            if self._failures.is_final:
                return self._errored('failed_too_often')
        return await self._scored()

    async def _scored(self) -> ItemResult:
        if self._item.scorer is not None and self._score is None:
            try:
                self._score = await self._context.scorer.score(
                    self._item.scorer
                )
            except ScoringFailedError:
                return self._errored('scorer_failed')
        return ItemResult(
            item_id=self._item.item_id,
            state=ResultState.COMPLETED,
            text=self._text.text(),
            versions=self._text.versions(),
            score=self._score,
        )

    async def _run_once(self) -> _RunEnd:
        request = self._place_request()
        if request is None:
            await self._context.clock.sleep(_NO_ROUTE_PAUSE_S)
            return _RunEnd.NOT_RUN
        place = await self._context.dispatcher.acquire(request)
        start_s = self._context.clock.monotonic_s()
        event_count = self._text.event_count
        end: _RunEnd | None = None
        failure: EndpointError | None = None
        try:
            end = await self._stream(place, request)
        except EndpointNotRunError as error:
            end = _RunEnd.NOT_RUN
            failure = error
            self._block(place, error.reason)
        except EndpointError as error:
            end = _RunEnd.BROKEN
            failure = error
        finally:
            failed = _is_endpoint_failure(end, failure)
            self._context.dispatcher.release(
                place,
                request,
                judged=failed or end is _RunEnd.COMPLETED,
                failed=failed,
            )
            self._log_run(place, end, failure, start_s)
        if end is _RunEnd.FAILED:
            self._failures.record(place.endpoint.endpoint_id)
        elif end is _RunEnd.BROKEN:
            self._last_broken = place.endpoint.endpoint_id
            pause_s = self._limits.record_interruption(
                is_silent=isinstance(failure, EndpointSilentError),
                has_new_events=self._text.event_count > event_count,
            )
            await self._context.clock.sleep(pause_s)
        return end

    async def _stream(
        self, place: Place, request: PlacementRequest
    ) -> _RunEnd:
        """Receive one run of the item's stream."""
        if self._job.single_version or not self._fits():
            self._drop_unfit(place)
        self._run_count += 1
        context = self._context
        async with context.gateway.open(place.endpoint, self._call()) as reply:
            if reply.status == _STATUS_FAILED:
                return _RunEnd.FAILED
            if reply.status == _STATUS_NEVER:
                return _RunEnd.NEVER
            if not 200 <= reply.status < 300:
                raise EndpointError(f'status {reply.status}')
            if not self._accepts_version(place, reply):
                return _RunEnd.UNFIT
            events = cast('AsyncGenerator[StreamEvent, None]', reply.events())
            async with aclosing(events):
                return await self._receive(events, place, request)

    async def _receive(
        self,
        events: AsyncGenerator[StreamEvent, None],
        place: Place,
        request: PlacementRequest,
    ) -> _RunEnd:
        clock = self._context.clock
        endpoint_id = place.endpoint.endpoint_id
        last_s: float | None = None
        check_s = clock.monotonic_s() + _MOVE_CHECK_S
        while True:
            try:
                async with asyncio.timeout(self._limits.idle_timeout_s):
                    event = await anext(events)
            except StopAsyncIteration:
                if not self._text.event_count:
                    raise EndpointError('a stream without events') from None
                return _RunEnd.COMPLETED
            except TimeoutError:
                raise EndpointSilentError(
                    f'silent for {self._limits.idle_timeout_s} s'
                ) from None
            self._text.add(event)
            if not self._fits():
                return _RunEnd.UNFIT
            now_s = clock.monotonic_s()
            if last_s is not None:
                self._context.pace.record(endpoint_id, now_s - last_s, now_s)
            last_s = now_s
            if now_s >= check_s:
                check_s = now_s + _MOVE_CHECK_S
                if self._should_move(place, request):
                    self._move_count += 1
                    return _RunEnd.MOVED

    def _should_move(self, place: Place, request: PlacementRequest) -> bool:
        if self._move_count >= _MAX_MOVE_COUNT:
            return False
        return self._context.dispatcher.should_move(place, request)

    def _accepts_version(self, place: Place, reply: EndpointReply) -> bool:
        """Return whether tokens of the reply's version may be used."""
        version = reply.weight_version
        if version is None:
            # All events were there before; a new event would be refused.
            self._text.begin_run(None)
            return True
        if self._job.model is not None:
            self._context.endpoints.note_versions(
                place.endpoint.endpoint_id,
                place.endpoint.agent_incarnation,
                {self._job.model: version},
                self._context.clock.monotonic_s(),
            )
        if self._job.min_version and version < self._job.min_version:
            self._context.dispatcher.block(
                place.endpoint.endpoint_id, self._job.model, _FULL_PAUSE_S
            )
            return False
        known = self._text.versions()
        if self._job.single_version and known and known != (version,):
            self._text.clear()
            return False
        self._text.begin_run(version)
        return True

    def _fits(self) -> bool:
        return self._text.has_allowed_versions(
            self._job.min_version, single_version=self._job.single_version
        )

    def _drop_unfit(self, place: Place) -> None:
        """Start anew where the text so far can't be continued."""
        version = place.endpoint.version_of(self._job.model)
        versions = self._text.versions()
        if not self._fits() or (versions and versions != (version,)):
            self._text.clear()

    def _block(self, place: Place, reason: NotRunReason) -> None:
        dispatcher = self._context.dispatcher
        endpoint_id = place.endpoint.endpoint_id
        if reason is NotRunReason.OVERLOADED:
            dispatcher.block(endpoint_id, self._job.model, _FULL_PAUSE_S)
        else:
            dispatcher.block(
                endpoint_id, self._job.model, _UNREACHABLE_PAUSE_S
            )

    def _call(self) -> EndpointCall:
        left_s = self._lifetime_left_s()
        return EndpointCall(
            request_id=ids.RequestId(self._item.item_id),
            method='POST',
            path=self._item.path,
            headers=(('Host', self._job.host), *self._item.headers),
            body=self._item.body,
            timeout_s=max(left_s, 0.001),
            client_account_id=self._job.client_account_id,
            resume_after=self._text.last_event_id,
            head_timeout_s=self._limits.head_timeout_s,
        )

    def _place_request(self) -> PlacementRequest | None:
        """Return what the item needs under the configuration in force."""
        routes = self._context.routes
        route = routes.find(self._job.host, self._item.path)
        if route is None:
            return None
        service = chosen_service(
            routes.configuration, route, ids.RequestId(self._item.item_id)
        )
        if service is None:
            return None
        self._longest_event_count = max(
            self._longest_event_count, self._text.event_count
        )
        context = self._context
        now_s = context.clock.monotonic_s()
        expected_tokens = context.lengths.expected_tokens(
            self._item.expected_token_count, self._longest_event_count
        )
        events_left = context.lengths.events_left(
            expected_tokens, self._text.event_count
        )
        duration_s = events_left * context.pace.typical_gap_s(now_s)
        return PlacementRequest(
            service=service.name,
            model=self._job.model,
            min_version=self._job.min_version,
            due_s=self._age_base_s() + self._job.due_s,
            expected_token_count=expected_tokens,
            expected_duration_s=duration_s,
            avoided_endpoint_ids=self._failures.endpoint_ids,
            avoided_until_s=now_s + _AVOID_S,
            interrupted_endpoint_id=self._last_broken,
        )

    def _age_base_s(self) -> float:
        """Return when the job was accepted, on the process's clock."""
        clock = self._context.clock
        age_s = max(clock.wall_s() - self._job.accepted_wall_s, 0.0)
        return clock.monotonic_s() - age_s

    def _lifetime_left_s(self) -> float:
        end_s = self._age_base_s() + self._job.item_lifetime_s
        return end_s - self._context.clock.monotonic_s()

    def _errored(self, reason: str) -> ItemResult:
        _log.warning(
            'item_errored',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            reason=reason,
            failures=self._failures.count,
            events=self._text.event_count,
        )
        return ItemResult(
            item_id=self._item.item_id, state=ResultState.ERRORED
        )

    def _log_run(
        self,
        place: Place,
        end: _RunEnd | None,
        failure: EndpointError | None,
        start_s: float,
    ) -> None:
        now_s = self._context.clock.monotonic_s()
        outcome = 'cancelled' if end is None else end.value
        self._context.metrics.events.labels(f'item_run_{outcome}').inc()
        self._context.metrics.observe('item_run', now_s - start_s)
        _log.info(
            'item_run',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            endpoint=place.endpoint.endpoint_id,
            endpoint_version=place.endpoint.version_of(self._job.model),
            outcome=outcome,
            detail=str(failure or ''),
            number=self._run_count,
            events=self._text.event_count,
            duration_ms=round((now_s - start_s) * 1_000),
        )


def _is_endpoint_failure(
    end: _RunEnd | None, failure: EndpointError | None
) -> bool:
    """Return whether a run's end counts against its endpoint."""
    if isinstance(failure, EndpointNotRunError):
        return failure.reason is NotRunReason.UNREACHABLE
    return end in {_RunEnd.BROKEN, _RunEnd.FAILED}
