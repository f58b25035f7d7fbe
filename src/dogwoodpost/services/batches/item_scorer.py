"""Scores completed texts through the configured routes."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.batches.scoring_attempts import ScoringAttempts
from dogwoodpost.services.batches.scoring_signs import sign_of_error
from dogwoodpost.services.batches.scoring_signs import sign_of_response
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.service_choice import chosen_service

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import ScorerCall
    from dogwoodpost.core.batches.scoring_limit import OverloadSign
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.core.configuration import Service
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.batches.scoring_queue import ScoringQueue
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.route_finder import RouteFinder

_log = structlog.get_logger(__name__)
_MS_PER_S = 1_000


class ScoringFailedError(DogwoodpostError):
    """The scorer has failed as often as its route allows."""


class ItemScorer:
    """Calls the scorer of a text until it returns a score.

    :param score_header: name of the response header that holds the score.
    :param queue: limits the calls that run at once.
    """

    def __init__(
        self,
        pipeline: RequestPipeline,
        routes: RouteFinder,
        clock: Clock,
        score_header: str,
        queue: ScoringQueue,
    ) -> None:
        self._pipeline = pipeline
        self._routes = routes
        self._clock = clock
        self._score_header = score_header.lower()
        self._queue = queue

    async def score(
        self,
        call: ScorerCall,
        client_account_id: ids.ClientAccountId | None,
        due_s: float,
    ) -> str:
        """Return the score of a text.

        :param client_account_id: account of the job. It is not billed for the
            call, but the text may only be sent to regions that it allows.
        :param due_s: when the step of the text is due, on the process's
            clock; the order of calls that wait.
        :raises ScoringFailedError: the scorer failed as often as its route
            allows.
        """
        attempts = ScoringAttempts(client_account_id, due_s)
        while True:
            route = self._routes.find(call.host, call.path)
            if route is not None:
                if attempts.failure_count >= route.max_attempt_count:
                    raise ScoringFailedError(
                        f'scorer failed {attempts.failure_count} times'
                    )
                score = await self._score_in_turn(call, route, attempts)
                if score is not None:
                    return score
            delay_s = attempts.retry_delay_s(
                self._pipeline.rng, backs_off=self._queue.is_enabled
            )
            await self._clock.sleep(delay_s)

    async def _score_in_turn(
        self, call: ScorerCall, route: Route, attempts: ScoringAttempts
    ) -> str | None:
        """Return the score, None if this attempt returned none."""
        service = self._service(call, route)
        if service is None:
            return None
        async with self._queue.turn(service, attempts.due_s):
            # The configuration may change while the call waits.
            current_route = self._routes.find(call.host, call.path)
            if current_route is None:
                return None
            if self._service(call, current_route) != service:
                return None
            return await self._score_once(
                call, current_route, service, attempts
            )

    async def _score_once(
        self,
        call: ScorerCall,
        route: Route,
        service: Service,
        attempts: ScoringAttempts,
    ) -> str | None:
        """Return the score, None if this attempt returned none."""
        start_s = self._clock.monotonic_s()
        sent: list[tuple[ids.EndpointId, float]] = []
        sign: OverloadSign | None
        try:
            head = await self._send_request(
                call,
                self._request(call, route, service, attempts),
                lambda endpoint_id: sent.append(
                    (endpoint_id, self._clock.monotonic_s())
                ),
            )
            sign = sign_of_response(head)
        except RequestError as error:
            head = None
            sign = sign_of_error(error)
        now_s = self._clock.monotonic_s()
        score = self._score_from(head)
        attempts.record(
            head,
            sign,
            [endpoint_id for endpoint_id, _ in sent],
            now_s - start_s,
        )
        self._queue.record(
            service.name,
            succeeded=score is not None,
            sign=sign,
            latency_s=now_s - sent[-1][1] if sent else None,
        )
        return score

    def _service(self, call: ScorerCall, route: Route) -> Service | None:
        return chosen_service(
            self._routes.configuration, route, call.request_id
        )

    def _request(
        self,
        call: ScorerCall,
        route: Route,
        service: Service,
        attempts: ScoringAttempts,
    ) -> PipelineRequest:
        allowed_regions = self._routes.allowed_regions(
            route.name, attempts.client_account_id
        )
        return PipelineRequest(
            request_id=call.request_id,
            route=route,
            service=service,
            client_account_id=None,
            limits=NO_LIMITS,
            method='POST',
            path=call.path,
            headers=(('Host', call.host),),
            body=call.body,
            timeout_s=min(
                route.timeout_ms / _MS_PER_S, attempts.attempt_timeout_s
            ),
            idempotent=True,
            max_attempt_count=1,
            whole_response=True,
            excluded=self._excluded_endpoints(
                service.name, allowed_regions, attempts.attempted_endpoint_ids
            ),
            allowed_regions=allowed_regions,
            max_idle_s=attempts.max_idle_s,
        )

    async def _send_request(
        self,
        call: ScorerCall,
        request: PipelineRequest,
        on_attempt: Callable[[ids.EndpointId], None],
    ) -> AttemptHead | None:
        """Return the head of the response, None without a response.

        :raises RequestError: the request was refused or failed.
        """
        head: AttemptHead | None = None
        try:
            async with aclosing(
                self._pipeline.execute(request, on_attempt)
            ) as events:
                async for event in events:
                    if isinstance(event, AttemptHead):
                        head = event
        except RequestError as error:
            _log.info(
                'scoring_attempt_failed',
                request_id=call.request_id,
                code=error.code,
                error=str(error),
            )
            raise
        return head

    def _excluded_endpoints(
        self,
        service: ids.ServiceName,
        allowed_regions: AllowedRegions,
        previous_endpoint_ids: frozenset[ids.EndpointId],
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints to exclude, none if no other has capacity."""
        query = RouteQuery(
            service=service,
            excluded=previous_endpoint_ids,
            allowed_regions=allowed_regions,
            may_probe=False,
        )
        now_s = self._clock.monotonic_s()
        if self._pipeline.router.choose(query, now_s) is None:
            return frozenset()
        return previous_endpoint_ids

    def _score_from(self, head: AttemptHead | None) -> str | None:
        if head is None or not is_success_status(head.status):
            return None
        for name, value in head.headers:
            if name.lower() == self._score_header:
                return value
        return None
