"""One attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import cast
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.admission import actual_cost_tokens
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptSpec
from dogwoodpost.services.entry import attempt_failures
from dogwoodpost.services.entry.attempt_failure import AttemptFailure
from dogwoodpost.services.entry.attempt_watch import AttemptWatch
from dogwoodpost.services.entry.attempt_watch import RETRIED_STATUSES

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.request_state import RequestState

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000


class AttemptRun:
    """Runs an attempt and tells router, usage and log of its end."""

    def __init__(
        self,
        pipeline: RequestPipeline,
        state: RequestState,
        endpoint: Endpoint,
        attempt_id: ids.AttemptId,
    ) -> None:
        self._pipeline = pipeline
        self._state = state
        self._request = state.request
        self._endpoint = endpoint
        self._attempt_id = attempt_id
        clock = pipeline.clock
        self._watch = AttemptWatch(clock.monotonic_s(), clock.wall_s())

    async def events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield what the caller gets of this attempt's response.

        :raises AttemptFailure: there is no complete response.
        """
        attempt = self._all_events()
        if self._request.whole_response:
            attempt = self._pipeline.held_responses.hold(attempt)
        progress = self._state.progress
        async with aclosing(attempt) as events:
            async for event in events:
                if isinstance(event, AttemptHead):
                    if progress.has_begun:
                        # The caller has the head of an earlier attempt.
                        continue
                    progress.note_head(is_stream=_is_success(event.status))
                elif isinstance(event, AttemptData):
                    progress.note_data(
                        ends_event=event.ends_event,
                        last_event_id=event.last_event_id,
                    )
                yield event

    async def _all_events(self) -> AsyncGenerator[AttemptEvent, None]:
        run = cast(
            'AsyncGenerator[AttemptEvent, None]',
            self._pipeline.runner.run(self._endpoint, self._spec()),
        )
        try:
            async with aclosing(run):
                while self._watch.end is None:
                    event = await self._next_event(run)
                    self._check_event(event)
                    yield event
        except AttemptFailure as failure:
            self._watch.failure = failure.reason
            raise
        finally:
            self._report()

    async def _next_event(
        self, run: AsyncGenerator[AttemptEvent, None]
    ) -> AttemptEvent:
        state = self._state
        watch = self._watch
        clock = self._pipeline.clock
        begin_s = clock.monotonic_s()
        try:
            async with asyncio.timeout(self._event_timeout_s()):
                return await anext(run)
        except AttemptNotRunError as error:
            watch.not_run(error.reason)
            raise attempt_failures.not_run(state, error) from error
        except AttemptOutcomeUnknownError as error:
            watch.failed = True
            raise attempt_failures.unknown(
                state, 'outcome_unknown', str(error)
            ) from error
        except StopAsyncIteration:
            watch.failed = True
            raise attempt_failures.unknown(
                state, 'outcome_unknown', 'the response has no end'
            ) from None
        except TimeoutError:
            if state.remaining_s > 0.0:
                watch.failed = True
                raise attempt_failures.unknown(
                    state,
                    'attempt_timeout',
                    'the endpoint did not answer in time',
                ) from None
            watch.timed_out(clock.monotonic_s() - begin_s)
            raise attempt_failures.deadline_passed(state) from None
        finally:
            watch.waited_s += clock.monotonic_s() - begin_s

    def _event_timeout_s(self) -> float:
        """Return how long to wait for the next part of a response."""
        request = self._request
        remaining_s = self._state.remaining_s
        if not request.idempotent or not self._state.has_attempts_left:
            return remaining_s
        if not self._watch.answered:
            limit_s = request.attempt_timeout_s
        elif self._state.progress.can_continue:
            limit_s = request.event_timeout_s
        else:
            limit_s = None
        return remaining_s if limit_s is None else min(limit_s, remaining_s)

    def _check_event(self, event: AttemptEvent) -> None:
        if isinstance(event, AttemptHead):
            self._watch.judge_status(event.status, self._request.service.kind)
            self._check_status(event.status)
        elif isinstance(event, AttemptEnd):
            self._watch.end = event
            self._check_end(event)

    def _check_status(self, status: int) -> None:
        """Drop a response that can't be passed on, or need not be.

        :raises AttemptFailure: it is dropped for another attempt.
        """
        state = self._state
        if state.progress.has_begun:
            if not _is_success(status):
                raise attempt_failures.bad_status(state, status)
            return
        if status not in RETRIED_STATUSES or not self._request.idempotent:
            return
        state.may_have_run = True
        if state.has_attempts_left:
            raise attempt_failures.bad_status(state, status)

    def _check_end(self, end: AttemptEnd) -> None:
        """Account for an attempt that ran.

        :raises AttemptFailure: it did not complete.
        """
        self._state.cost_tokens += actual_cost_tokens(
            end.prompt_tokens, end.cached_tokens, end.completion_tokens
        )
        if end.outcome is AttemptOutcome.COMPLETED:
            if not self._pipeline.bills_begun_requests:
                self._record_completed(end)
            return
        if end.outcome is AttemptOutcome.DEADLINE_PASSED:
            raise attempt_failures.deadline_passed(self._state)
        self._watch.failed = end.outcome is AttemptOutcome.ENDPOINT_FAILED
        self._watch.judged = self._watch.failed
        raise attempt_failures.unknown(
            self._state, 'endpoint_failed', end.detail or 'no detail'
        )

    def _record_completed(self, end: AttemptEnd) -> None:
        account_id = self._request.client_account_id
        if account_id is None:
            return
        self._pipeline.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=end.prompt_tokens,
            completion_tokens=end.completion_tokens,
        )

    def _record_begun(self) -> None:
        """Bill an attempt in the window in which it was sent."""
        account_id = self._request.client_account_id
        if account_id is None or not self._watch.may_have_run:
            return
        self._pipeline.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=0,
            completion_tokens=0,
            at_wall_s=self._watch.sent_wall_s,
        )

    def _report(self) -> None:
        pipeline = self._pipeline
        watch = self._watch
        if watch.end is None and watch.may_have_run:
            # The engine did work that it could not report.
            self._state.cost_tokens += self._request.cost_tokens
        if pipeline.bills_begun_requests:
            self._record_begun()
        now_s = pipeline.clock.monotonic_s()
        pipeline.metrics.observe('attempt', now_s - watch.start_s)
        self._log_end(now_s)
        pipeline.router.finish(
            self._request.service.name,
            self._endpoint.endpoint_id,
            self._attempt_id,
            watch.result(),
            now_s,
        )

    def _log_end(self, now_s: float) -> None:
        watch = self._watch
        _log.info(
            'attempt',
            request_id=self._request.request_id,
            route=self._request.route.name,
            endpoint=self._endpoint.endpoint_id,
            number=self._state.attempt_count,
            completed=watch.end is not None and not watch.failed,
            may_have_run=watch.may_have_run,
            failure=watch.failure,
            last_event=self._state.progress.last_event_id,
            duration_ms=round((now_s - watch.start_s) * _MS_PER_S, 1),
            remaining_ms=round(self._state.remaining_s * _MS_PER_S, 1),
        )

    def _spec(self) -> AttemptSpec:
        request = self._request
        return AttemptSpec(
            attempt_id=self._attempt_id,
            request_id=request.request_id,
            client_account_id=request.client_account_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            timeout_s=self._state.remaining_s,
            idempotent=request.idempotent,
            priority=request.priority,
            resumable=request.route.resumable,
            resume_after=self._state.progress.last_event_id,
        )


def _is_success(status: int) -> bool:
    return 200 <= status < 300
