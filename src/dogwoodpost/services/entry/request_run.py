"""One request on its way through the pipeline."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import aclosing
from typing import cast
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.admission import actual_cost_tokens
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptSpec
from dogwoodpost.services.entry.attempt_failure import AttemptFailure
from dogwoodpost.services.entry.attempt_watch import AttemptWatch
from dogwoodpost.services.entry.attempt_watch import RETRIED_STATUSES

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable

    from dogwoodpost.core.retries import RetryPolicy
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline

_log = structlog.get_logger(__name__)
# All requests to routes open to all share one queue and one set of limits.
ANONYMOUS = ids.ClientAccountId('')
# Larger responses are passed on as they arrive.
_MAX_HELD_BACK_BYTES = 4 * 1024 * 1024
_RETRY_AFTER_S = 1.0


class RequestRun:
    """State of one request from its admission to its end."""

    def __init__(
        self,
        pipeline: RequestPipeline,
        request: PipelineRequest,
        on_attempt: Callable[[ids.EndpointId], None] | None,
    ) -> None:
        self._on_attempt = on_attempt
        self._pipeline = pipeline
        self._request = request
        self._start_s = pipeline.clock.monotonic_s()
        self._deadline_s = self._start_s + request.timeout_s
        self._budget = pipeline.retry_budget(request.route.name)
        self._attempt_count = 0
        self._not_run_count = 0
        self._retry_policy = _policy(pipeline, request)
        self._passed_on = False
        self._may_have_run = False
        self._cost_tokens = 0.0
        self._tried: frozenset[ids.EndpointId] = frozenset()

    async def events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the response.

        :raises RequestError: the request was refused or failed.
        """
        pipeline = self._pipeline
        ticket = self._ticket()
        attempt_id = _new_attempt_id()
        pipeline.admission.set_limits(
            ticket.client_account_id, self._request.limits, self._start_s
        )
        endpoint = await pipeline.queue.acquire(
            ticket, self._query(needs_room=True), attempt_id
        )
        pipeline.metrics.observe('admission_wait', self._elapsed_s())
        try:
            self._budget.record_first(pipeline.clock.monotonic_s())
            async with aclosing(self._run(endpoint, attempt_id)) as events:
                async for event in events:
                    yield event
        finally:
            pipeline.queue.release(ticket, self._cost_tokens)

    async def _run(
        self, endpoint: Endpoint, attempt_id: ids.AttemptId
    ) -> AsyncGenerator[AttemptEvent, None]:
        while True:
            self._attempt_count += 1
            if self._on_attempt is not None:
                self._on_attempt(endpoint.endpoint_id)
            try:
                attempt = self._attempt(endpoint, attempt_id)
                if self._request.whole_response:
                    attempt = _held_back(attempt)
                async with aclosing(attempt) as events:
                    async for event in events:
                        self._passed_on = True
                        yield event
                return
            except AttemptFailure as failure:
                self._tried |= {endpoint.endpoint_id}
                await self._before_retry(failure)
                attempt_id = _new_attempt_id()
                endpoint = self._place_retry(attempt_id, failure)

    async def _before_retry(self, failure: AttemptFailure) -> None:
        """Wait before the next attempt.

        :raises RequestError: there is none.
        """
        delay_s = self._retry_delay_s(failure.may_retry)
        if delay_s is None:
            raise failure.error
        self._pipeline.metrics.retries.labels(failure.reason).inc()
        await self._pipeline.clock.sleep(delay_s)

    def _retry_delay_s(self, may_retry: bool) -> float | None:
        if self._passed_on or not may_retry:
            return None
        pipeline = self._pipeline
        return self._retry_policy.delay_s(
            self._counted_attempts(),
            self._remaining_s(),
            self._budget,
            pipeline.rng,
            pipeline.clock.monotonic_s(),
        )

    def _counted_attempts(self) -> int:
        """Return the attempts that count towards the request's limit."""
        free_count = min(self._not_run_count, self._request.free_not_run_count)
        return self._attempt_count - free_count

    def _place_retry(
        self, attempt_id: ids.AttemptId, failure: AttemptFailure
    ) -> Endpoint:
        router = self._pipeline.router
        now_s = self._pipeline.clock.monotonic_s()
        query = self._query(needs_room=False)
        untried = msgspec.structs.replace(
            query, excluded=query.excluded | self._tried
        )
        endpoint = router.choose(untried, now_s)
        endpoint = endpoint or router.choose(query, now_s)
        if endpoint is None:
            raise failure.error
        router.begin(endpoint.endpoint_id, attempt_id, query, now_s)
        return endpoint

    async def _attempt(
        self, endpoint: Endpoint, attempt_id: ids.AttemptId
    ) -> AsyncGenerator[AttemptEvent, None]:
        """Run one attempt.

        :raises AttemptFailure: it gave no complete response.
        """
        clock = self._pipeline.clock
        watch = AttemptWatch(clock.monotonic_s(), clock.wall_s())
        spec = self._spec(attempt_id)
        run = cast(
            'AsyncGenerator[AttemptEvent, None]',
            self._pipeline.runner.run(endpoint, spec),
        )
        try:
            async with aclosing(run):
                while watch.end is None:
                    event = await self._next_event(run, watch)
                    self._check_event(event, watch)
                    yield event
        except AttemptFailure as failure:
            watch.failure = failure.reason
            raise
        finally:
            self._report(endpoint, attempt_id, watch)

    async def _next_event(
        self, run: AsyncGenerator[AttemptEvent, None], watch: AttemptWatch
    ) -> AttemptEvent:
        clock = self._pipeline.clock
        begin_s = clock.monotonic_s()
        try:
            async with asyncio.timeout(self._event_timeout_s(watch)):
                return await anext(run)
        except AttemptNotRunError as error:
            watch.not_run(error.reason)
            raise self._not_run(error) from error
        except AttemptOutcomeUnknownError as error:
            watch.failed = True
            raise self._unknown('outcome_unknown', str(error)) from error
        except StopAsyncIteration:
            watch.failed = True
            raise self._unknown(
                'outcome_unknown', 'the response has no end'
            ) from None
        except TimeoutError:
            if self._remaining_s() > 0.0:
                watch.failed = True
                raise self._unknown(
                    'attempt_timeout', 'the endpoint did not answer in time'
                ) from None
            watch.timed_out(clock.monotonic_s() - begin_s)
            raise self._deadline_passed() from None
        finally:
            watch.waited_s += clock.monotonic_s() - begin_s

    def _check_event(self, event: AttemptEvent, watch: AttemptWatch) -> None:
        if isinstance(event, AttemptHead):
            watch.judge_status(event.status, self._request.service.kind)
            self._check_status(event.status)
        elif isinstance(event, AttemptEnd):
            watch.end = event
            self._check_end(event, watch)

    def _check_status(self, status: int) -> None:
        """Retry temporary failures that the endpoint itself reports.

        :raises AttemptFailure: the response is dropped for another attempt.
        """
        if status not in RETRIED_STATUSES or not self._request.idempotent:
            return
        if self._passed_on:
            return
        self._may_have_run = True
        error = RequestError(
            'endpoint_failed',
            f'the endpoint answered with status {status}',
            status=502,
            retry_after_s=_RETRY_AFTER_S,
        )
        if self._counted_attempts() < self._retry_policy.max_attempt_count:
            raise AttemptFailure(
                f'status_{status}', may_retry=True, error=error
            )

    def _check_end(self, end: AttemptEnd, watch: AttemptWatch) -> None:
        """Account for an attempt that ran.

        :raises AttemptFailure: it did not complete.
        """
        self._cost_tokens += actual_cost_tokens(
            end.prompt_tokens, end.cached_tokens, end.completion_tokens
        )
        if end.outcome is AttemptOutcome.COMPLETED:
            if not self._pipeline.bills_begun_requests:
                self._record_usage(end)
            return
        if end.outcome is AttemptOutcome.DEADLINE_PASSED:
            raise self._deadline_passed()
        watch.failed = end.outcome is AttemptOutcome.ENDPOINT_FAILED
        watch.judged = watch.failed
        raise self._unknown('endpoint_failed', end.detail or 'no detail')

    def _record_usage(self, end: AttemptEnd) -> None:
        account_id = self._request.client_account_id
        if account_id is None:
            return
        self._pipeline.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=end.prompt_tokens,
            completion_tokens=end.completion_tokens,
        )

    def _record_begun(self, watch: AttemptWatch) -> None:
        """Bill an attempt in the window in which it was sent."""
        account_id = self._request.client_account_id
        if account_id is None or not watch.may_have_run:
            return
        self._pipeline.usage.record(
            account_id,
            request_count=1,
            prompt_tokens=0,
            completion_tokens=0,
            at_wall_s=watch.sent_wall_s,
        )

    def _report(
        self,
        endpoint: Endpoint,
        attempt_id: ids.AttemptId,
        watch: AttemptWatch,
    ) -> None:
        pipeline = self._pipeline
        if watch.end is None and watch.may_have_run:
            # The engine did work that it could not report.
            self._cost_tokens += self._request.cost_tokens
        if pipeline.bills_begun_requests:
            self._record_begun(watch)
        now_s = pipeline.clock.monotonic_s()
        pipeline.metrics.observe('attempt', now_s - watch.start_s)
        self._log_attempt(endpoint, watch, now_s)
        pipeline.router.finish(
            self._request.service.name,
            endpoint.endpoint_id,
            attempt_id,
            watch.result(),
            now_s,
        )

    def _log_attempt(
        self, endpoint: Endpoint, watch: AttemptWatch, now_s: float
    ) -> None:
        completed = watch.end is not None and not watch.failed
        _log.info(
            'attempt',
            request_id=self._request.request_id,
            route=self._request.route.name,
            endpoint=endpoint.endpoint_id,
            number=self._attempt_count,
            completed=completed,
            may_have_run=watch.may_have_run,
            failure=watch.failure,
            duration_ms=round((now_s - watch.start_s) * 1_000, 1),
            remaining_ms=round(self._remaining_s() * 1_000, 1),
        )

    def _event_timeout_s(self, watch: AttemptWatch) -> float:
        """Return how long to wait for the next part of a response."""
        remaining_s = self._remaining_s()
        limit_s = self._request.attempt_timeout_s
        if limit_s is None or watch.answered or not self._request.idempotent:
            return remaining_s
        if self._counted_attempts() >= self._retry_policy.max_attempt_count:
            return remaining_s
        return min(limit_s, remaining_s)

    def _not_run(self, error: AttemptNotRunError) -> AttemptFailure:
        self._not_run_count += 1
        reason = error.reason
        if reason is RefusalReason.DEADLINE_PASSED:
            return AttemptFailure(
                reason.value,
                may_retry=False,
                error=self._error('deadline_passed', str(error), 504),
            )
        return AttemptFailure(
            reason.value if reason else 'not_sent',
            may_retry=True,
            error=self._error('not_run', str(error), 503, error.retry_after_s),
        )

    def _unknown(self, code: str, detail: str) -> AttemptFailure:
        self._may_have_run = True
        idempotent = self._request.idempotent
        if not idempotent:
            error = self._error('outcome_unknown', detail, 502)
        else:
            error = self._error(code, detail, 502)
        return AttemptFailure(code, may_retry=idempotent, error=error)

    def _deadline_passed(self) -> AttemptFailure:
        self._may_have_run = True
        if self._request.idempotent:
            error = self._error(
                'deadline_passed', 'the time limit has passed', 504
            )
        else:
            error = self._error(
                'outcome_unknown', 'the time limit has passed', 502
            )
        return AttemptFailure('deadline_passed', may_retry=False, error=error)

    def _error(
        self,
        code: str,
        message: str,
        status: int,
        retry_after_s: float | None = None,
    ) -> RequestError:
        return RequestError(
            code,
            message,
            status=status,
            not_run=not self._may_have_run,
            retry_after_s=retry_after_s or _RETRY_AFTER_S,
        )

    def _ticket(self) -> Ticket:
        request = self._request
        return Ticket(
            request_id=request.request_id,
            client_account_id=request.client_account_id or ANONYMOUS,
            service=request.service.name,
            estimated_tokens=request.cost_tokens,
            deadline_s=self._deadline_s,
            enqueued_s=self._start_s,
        )

    def _query(self, *, needs_room: bool) -> RouteQuery:
        request = self._request
        return RouteQuery(
            service=request.service.name,
            prefix=request.prefix,
            prompt_tokens=request.prompt_tokens,
            volume_bytes=len(request.body),
            concurrency=request.service.endpoint_concurrency,
            min_weight_version=request.min_weight_version,
            excluded=request.excluded,
            needs_room=needs_room,
            may_probe=request.idempotent,
        )

    def _spec(self, attempt_id: ids.AttemptId) -> AttemptSpec:
        request = self._request
        return AttemptSpec(
            attempt_id=attempt_id,
            request_id=request.request_id,
            client_account_id=request.client_account_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            timeout_s=self._remaining_s(),
            idempotent=request.idempotent,
            priority=request.priority,
        )

    def _elapsed_s(self) -> float:
        return self._pipeline.clock.monotonic_s() - self._start_s

    def _remaining_s(self) -> float:
        return max(self._request.timeout_s - self._elapsed_s(), 0.0)


def _policy(
    pipeline: RequestPipeline, request: PipelineRequest
) -> RetryPolicy:
    if request.max_attempt_count is None:
        return pipeline.retry_policy
    return msgspec.structs.replace(
        pipeline.retry_policy, max_attempt_count=request.max_attempt_count
    )


async def _held_back(
    attempt: AsyncGenerator[AttemptEvent, None],
) -> AsyncGenerator[AttemptEvent, None]:
    """Yield an attempt's events only after its end, up to a size."""
    held: list[AttemptEvent] = []
    held_bytes = 0
    async with aclosing(attempt):
        async for event in attempt:
            held.append(event)
            if isinstance(event, AttemptData):
                held_bytes += len(event.data)
            if held_bytes > _MAX_HELD_BACK_BYTES:
                break
        for event in held:
            yield event
        async for event in attempt:
            yield event


def _new_attempt_id() -> ids.AttemptId:
    return ids.AttemptId(uuid.uuid4().hex)
