"""Run of one request: admission, attempts and retries."""

from __future__ import annotations

import uuid
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.attempt_failure import AttemptFailure
from dogwoodpost.services.entry.attempt_run import AttemptRun
from dogwoodpost.services.entry.concurrent_attempt import ConcurrentAttempt
from dogwoodpost.services.entry.hedged_attempts import HedgedAttempts
from dogwoodpost.services.entry.request_state import RequestState

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable

    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.retries import RetryPolicy
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest
    from dogwoodpost.services.entry.request_context import RequestContext
    from dogwoodpost.services.entry.request_hedge import RequestHedge

_log = structlog.get_logger(__name__)
_REGION_CHANGE_RETRY_AFTER_S = 0.1
# Requests to routes open to all share one queue and one set of limits.
ANONYMOUS_ACCOUNT_ID = ids.ClientAccountId('')


class RequestRun:
    """Admits one request and runs attempts until it completes or fails.

    :param on_attempt: called with the endpoint's id before each attempt.
    """

    def __init__(
        self,
        context: RequestContext,
        request: PipelineRequest,
        on_attempt: Callable[[ids.EndpointId], None] | None,
    ) -> None:
        self._on_attempt = on_attempt
        self._context = context
        self._attempts = context.attempts
        self._request = request
        self._budget = context.retry_budget(request.route.name)
        self._retry_policy = _policy_for_request(context, request)
        self._state = RequestState(
            request,
            context.attempts.clock,
            self._retry_policy.max_attempt_count,
        )
        self._tried_endpoint_ids: frozenset[ids.EndpointId] = frozenset()

    async def events(self) -> AsyncGenerator[AttemptEvent, None]:
        """Yield the head, the body and the end of the response.

        :raises RequestError: the request was refused or failed.
        """
        context = self._context
        state = self._state
        ticket = self._ticket()
        attempt_id = _new_attempt_id()
        context.admission.set_limits(
            ticket.client_account_id, self._request.limits, state.start_s
        )
        endpoint = await context.queue.acquire(
            ticket, self._query(requires_free_slot=True), attempt_id
        )
        self._attempts.metrics.observe('admission_wait', state.elapsed_s)
        try:
            if not self._allowed_regions().permits(endpoint.region):
                endpoint, attempt_id = self._replace_endpoint(
                    endpoint, attempt_id
                )
            self._budget.record_first_attempt(
                self._attempts.clock.monotonic_s()
            )
            async with aclosing(self._run(endpoint, attempt_id)) as events:
                async for event in events:
                    yield event
        finally:
            context.queue.release(ticket, state.cost_tokens)

    async def _run(
        self, endpoint: Endpoint, attempt_id: ids.AttemptId
    ) -> AsyncGenerator[AttemptEvent, None]:
        hedge = self._context.hedger.request_hedge(self._state)
        while True:
            attempt = self._attempt(endpoint, attempt_id)
            if hedge is None:
                attempt_events = attempt.events()
            else:
                attempt_events = self._hedged_attempts(
                    hedge, endpoint, attempt_id
                ).events(attempt, endpoint.endpoint_id)
                hedge = None
            try:
                async with aclosing(attempt_events) as events:
                    async for event in events:
                        yield event
                return
            except AttemptFailure as failure:
                await self._wait_before_retry(failure)
                attempt_id = _new_attempt_id()
                endpoint = self._start_retry(attempt_id, failure.error)

    def _attempt(
        self, endpoint: Endpoint, attempt_id: ids.AttemptId
    ) -> AttemptRun:
        """Count an attempt and return its run."""
        self._state.attempt_count += 1
        self._tried_endpoint_ids |= {endpoint.endpoint_id}
        if self._on_attempt is not None:
            self._on_attempt(endpoint.endpoint_id)
        return AttemptRun(self._attempts, self._state, endpoint, attempt_id)

    def _hedged_attempts(
        self,
        hedge: RequestHedge,
        endpoint: Endpoint,
        attempt_id: ids.AttemptId,
    ) -> HedgedAttempts:
        delay_s = hedge.begin(
            endpoint, attempt_id, self._query(requires_free_slot=True)
        )
        return HedgedAttempts(
            hedge, self._state, delay_s, lambda: self._start_second(hedge)
        )

    def _start_second(self, hedge: RequestHedge) -> ConcurrentAttempt | None:
        """Start a second attempt beside the first; None for no attempt."""
        query = self._query(requires_free_slot=True)
        untried_query = msgspec.structs.replace(
            query, excluded=query.excluded | self._tried_endpoint_ids
        )
        endpoint = hedge.choose(untried_query, self._budget)
        if endpoint is None:
            return None
        attempt_id = _new_attempt_id()
        self._attempts.router.begin(
            endpoint.endpoint_id,
            attempt_id,
            query,
            self._attempts.clock.monotonic_s(),
        )
        return ConcurrentAttempt(
            self._attempt(endpoint, attempt_id), endpoint.endpoint_id
        )

    async def _wait_before_retry(self, failure: AttemptFailure) -> None:
        """Wait for the delay before the next attempt.

        :raises RequestError: the request is not retried.
        """
        delay_s = self._retry_delay_s(failure.may_retry)
        if delay_s is None:
            raise failure.error
        self._attempts.metrics.retries.labels(failure.reason).inc()
        await self._attempts.clock.sleep(delay_s)

    def _retry_delay_s(self, may_retry: bool) -> float | None:
        progress = self._state.progress
        if not progress.can_continue or not may_retry:
            return None
        context = self._context
        # A resumed stream does not repeat the events generated so far, so it
        # is not charged to the retry budget.
        is_resumed = progress.last_event_id is not None
        return self._retry_policy.delay_s(
            self._state.counted_attempt_count,
            self._state.remaining_s,
            None if is_resumed else self._budget,
            context.rng,
            self._attempts.clock.monotonic_s(),
        )

    def _start_retry(
        self, attempt_id: ids.AttemptId, error: RequestError
    ) -> Endpoint:
        """Choose an endpoint for a retry, an untried one if possible.

        :raises RequestError: ``error``, because no endpoint is available.
        """
        router = self._attempts.router
        now_s = self._attempts.clock.monotonic_s()
        query = self._query(requires_free_slot=False)
        untried_query = msgspec.structs.replace(
            query, excluded=query.excluded | self._tried_endpoint_ids
        )
        endpoint = router.choose(untried_query, now_s)
        endpoint = endpoint or router.choose(query, now_s)
        if endpoint is None:
            raise error
        router.begin(endpoint.endpoint_id, attempt_id, query, now_s)
        return endpoint

    def _replace_endpoint(
        self, endpoint: Endpoint, attempt_id: ids.AttemptId
    ) -> tuple[Endpoint, ids.AttemptId]:
        """Replace an endpoint whose region is no longer allowed.

        The configuration may change while a request waits in the queue.

        :returns: the new endpoint and attempt.
        :raises RequestError: no endpoint is available.
        """
        self._attempts.router.finish(
            self._request.service.name,
            endpoint.endpoint_id,
            attempt_id,
            AttemptResult(failed=False, conclusive=False),
            self._attempts.clock.monotonic_s(),
        )
        error = RequestError(
            'region_not_allowed',
            'the allowed regions changed while the request waited',
            status=503,
            not_run=True,
            retry_after_s=_REGION_CHANGE_RETRY_AFTER_S,
        )
        new_attempt_id = _new_attempt_id()
        return self._start_retry(new_attempt_id, error), new_attempt_id

    def _allowed_regions(self) -> AllowedRegions:
        """Return the regions that the current configuration allows."""
        request = self._request
        configuration = self._context.current_configuration()
        return request.allowed_regions.intersection(
            configuration.allowed_regions(
                request.route.name, request.client_account_id
            )
        )

    def _ticket(self) -> Ticket:
        request = self._request
        return Ticket(
            request_id=request.request_id,
            client_account_id=request.client_account_id
            or ANONYMOUS_ACCOUNT_ID,
            service=request.service.name,
            estimated_tokens=request.cost_tokens,
            deadline_s=self._state.deadline_s,
            enqueued_s=self._state.start_s,
            priority=self._context.current_configuration().priority(
                request.route.name, request.client_account_id
            ),
        )

    def _query(self, *, requires_free_slot: bool) -> RouteQuery:
        request = self._request
        return RouteQuery(
            service=request.service.name,
            prefix=request.prefix,
            prompt_tokens=request.prompt_tokens,
            volume_bytes=len(request.body),
            concurrency=request.service.endpoint_concurrency,
            min_weight_version=request.min_weight_version,
            excluded=request.excluded,
            allowed_regions=self._allowed_regions(),
            requires_free_slot=requires_free_slot,
            may_probe=request.idempotent,
        )


def _policy_for_request(
    context: RequestContext, request: PipelineRequest
) -> RetryPolicy:
    if request.max_attempt_count is None:
        return context.retry_policy
    return msgspec.structs.replace(
        context.retry_policy, max_attempt_count=request.max_attempt_count
    )


def _new_attempt_id() -> ids.AttemptId:
    return ids.AttemptId(uuid.uuid4().hex)
