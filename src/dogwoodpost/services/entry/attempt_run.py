"""Run of one attempt of a request at one endpoint."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from contextlib import contextmanager
from typing import cast
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.admission import actual_cost_tokens
from dogwoodpost.core.connections import trusted_idle_s
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.streams import is_stream_head
from dogwoodpost.core.streams import requested_resume_point
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptSpec
from dogwoodpost.services.entry import attempt_failures
from dogwoodpost.services.entry.attempt_failure import AttemptFailure
from dogwoodpost.services.entry.attempt_observation import AttemptObservation
from dogwoodpost.services.entry.attempt_observation import RETRIED_STATUSES

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.attempt_context import AttemptContext
    from dogwoodpost.services.entry.request_state import RequestState

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000


class AttemptRun:
    """Runs an attempt and reports its end to router, usage and log."""

    def __init__(
        self,
        context: AttemptContext,
        state: RequestState,
        endpoint: Endpoint,
        attempt_id: ids.AttemptId,
    ) -> None:
        self._context = context
        self._state = state
        self._request = state.request
        self._endpoint = endpoint
        self._attempt_id = attempt_id
        self._number = state.attempt_count
        clock = context.clock
        self._observation = AttemptObservation(
            clock.monotonic_s(), clock.wall_s()
        )
        self._stream_run = state.progress.next_run(
            requested_resume_point(state.request.headers)
        )

    async def events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the events of this attempt that are forwarded to the caller.

        :raises AttemptFailure: the attempt gave no complete response.
        """
        attempt = self._checked_events()
        if self._request.whole_response:
            attempt = self._context.response_buffer.buffer(attempt)
        progress = self._state.progress
        async with aclosing(attempt) as events:
            async for event in events:
                if isinstance(event, AttemptHead):
                    if progress.has_begun:
                        # The head of an earlier attempt was forwarded.
                        continue
                    progress.note_head(
                        is_stream=is_stream_head(event.status, event.headers),
                        names_version=event.weight_version is not None,
                    )
                elif isinstance(event, AttemptData):
                    progress.note_data(
                        ends_event=event.ends_event,
                        last_event_id=event.last_event_id,
                    )
                yield event

    async def _checked_events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the runner's events; report the end of the attempt.

        :raises AttemptFailure: the attempt failed or has to be retried.
        """
        run = cast(
            'AsyncGenerator[AttemptEvent, None]',
            self._context.runner.run(self._endpoint, self._spec()),
        )
        try:
            async with aclosing(run):
                while self._observation.end is None:
                    event = await self._next_event(run)
                    self._check_event(event)
                    yield event
        except AttemptFailure as failure:
            self._observation.failure_reason = failure.reason
            self._observation.failure_detail = str(failure.error)
            raise
        finally:
            self._report_end()

    async def _next_event(
        self, run: AsyncGenerator[AttemptEvent, None]
    ) -> AttemptEvent:
        state = self._state
        observation = self._observation
        clock = self._context.clock
        wait_start_s = clock.monotonic_s()
        try:
            async with asyncio.timeout(self._event_timeout_s()):
                return await anext(run)
        except AttemptNotRunError as error:
            observation.record_not_run(error.reason)
            raise attempt_failures.not_run(state, error) from error
        except AttemptOutcomeUnknownError as error:
            observation.failed = True
            raise attempt_failures.outcome_unknown(
                state, 'outcome_unknown', str(error)
            ) from error
        except StopAsyncIteration:
            observation.failed = True
            raise attempt_failures.outcome_unknown(
                state, 'outcome_unknown', 'the response ended prematurely'
            ) from None
        except TimeoutError:
            if state.remaining_s > 0.0:
                observation.record_attempt_timeout()
                state.max_idle_s = trusted_idle_s(
                    clock.monotonic_s() - wait_start_s
                )
                raise attempt_failures.outcome_unknown(
                    state,
                    'attempt_timeout',
                    'the endpoint did not answer in time',
                ) from None
            observation.record_timeout(clock.monotonic_s() - wait_start_s)
            raise attempt_failures.deadline_passed(state) from None
        finally:
            observation.total_wait_s += clock.monotonic_s() - wait_start_s

    def _event_timeout_s(self) -> float:
        """Return how long to wait for the next event of the response.

        Only an attempt after which the request can still be retried has a
        shorter limit than the request.
        """
        request = self._request
        remaining_s = self._state.remaining_s
        if not request.idempotent or not self._state.has_attempts_left:
            return remaining_s
        if not self._observation.head_received:
            limit_s = request.attempt_timeout_s
        elif self._state.progress.can_continue:
            limit_s = request.event_timeout_s
        else:
            limit_s = None
        return remaining_s if limit_s is None else min(limit_s, remaining_s)

    def _check_event(self, event: AttemptEvent) -> None:
        """Check an event of the response.

        :raises AttemptFailure: the response is rejected.
        """
        if isinstance(event, AttemptHead):
            self._observation.record_status(
                event.status, self._request.service.kind
            )
            self._check_status(event.status)
            with self._rejecting('not_continued'):
                self._stream_run.check_head(
                    event.status,
                    event.headers,
                    event.weight_version,
                    ends_with_connection=event.ends_with_connection,
                )
        elif isinstance(event, AttemptEnd):
            self._observation.end = event
            self._check_end(event)
        elif event.has_events:
            with self._rejecting('not_continued'):
                self._stream_run.note_event()

    @contextmanager
    def _rejecting(self, reason: str) -> Iterator[None]:
        """Reject the response if the block finds that it breaks its stream.

        :raises AttemptFailure: the response is rejected.
        """
        try:
            yield
        except EndpointError as error:
            self._observation.failed = True
            raise attempt_failures.outcome_unknown(
                self._state, reason, str(error)
            ) from error

    def _check_status(self, status: int) -> None:
        """Reject a response that can't be forwarded or should be retried.

        :raises AttemptFailure: the response is rejected because of its
            status.
        """
        state = self._state
        if state.progress.has_begun:
            if not is_success_status(status):
                raise attempt_failures.bad_status(state, status)
            return
        if status not in RETRIED_STATUSES or not self._request.idempotent:
            return
        state.may_have_run = True
        if state.has_attempts_left or state.other_attempt_runs:
            raise attempt_failures.bad_status(state, status)

    def _check_end(self, end: AttemptEnd) -> None:
        """Record the cost and usage of an attempt that ran.

        :raises AttemptFailure: the attempt did not complete.
        """
        self._state.cost_tokens += actual_cost_tokens(
            end.prompt_tokens, end.cached_tokens, end.completion_tokens
        )
        if end.outcome is AttemptOutcome.COMPLETED:
            with self._rejecting('stream_incomplete'):
                self._stream_run.check_end()
            if not self._context.bills_begun_requests:
                self._record_completed(end)
            return
        if end.outcome is AttemptOutcome.DEADLINE_PASSED:
            raise attempt_failures.deadline_passed(self._state)
        self._observation.failed = (
            end.outcome is AttemptOutcome.ENDPOINT_FAILED
        )
        self._observation.is_conclusive = self._observation.failed
        raise attempt_failures.outcome_unknown(
            self._state, 'endpoint_failed', end.detail or 'no detail'
        )

    def _record_completed(self, end: AttemptEnd) -> None:
        account_id = self._request.client_account_id
        if account_id is None:
            return
        self._context.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=end.prompt_tokens,
            completion_tokens=end.completion_tokens,
        )

    def _record_started(self) -> None:
        """Record usage in the window in which the attempt was sent."""
        account_id = self._request.client_account_id
        if account_id is None or not self._observation.may_have_run:
            return
        self._context.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=0,
            completion_tokens=0,
            at_wall_s=self._observation.sent_wall_s,
        )

    def _report_end(self) -> None:
        context = self._context
        observation = self._observation
        if observation.end is None and observation.may_have_run:
            # Without an end there is no reported cost, so the estimate is
            # charged for the work that the endpoint may have done.
            self._state.cost_tokens += self._request.cost_tokens
        if context.bills_begun_requests:
            self._record_started()
        now_s = context.clock.monotonic_s()
        context.metrics.observe('attempt', now_s - observation.start_s)
        self._log_end(now_s)
        context.router.finish(
            self._request.service.name,
            self._endpoint.endpoint_id,
            self._attempt_id,
            observation.result(),
            now_s,
        )

    def _log_end(self, now_s: float) -> None:
        observation = self._observation
        _log.info(
            'attempt',
            request_id=self._request.request_id,
            route=self._request.route.name,
            endpoint=self._endpoint.endpoint_id,
            number=self._number,
            completed=observation.end is not None and not observation.failed,
            may_have_run=observation.may_have_run,
            failure=observation.failure_reason,
            detail=observation.failure_detail,
            last_event=self._state.progress.last_event_id,
            duration_ms=round((now_s - observation.start_s) * _MS_PER_S, 1),
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
            continues_response=self._state.progress.has_begun,
            max_idle_s=self._state.max_idle_s,
        )
