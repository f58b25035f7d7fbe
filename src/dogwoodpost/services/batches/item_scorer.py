"""Scores completed texts through the configured routes."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.service_choice import chosen_service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import ScorerCall
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.route_finder import RouteFinder

_log = structlog.get_logger(__name__)
# Most responses arrive much sooner; bounds the delay caused by an endpoint
# that does not respond.
_INITIAL_TIMEOUT_S = 1.0
# Some texts take longer to score at every endpoint, so each attempt that times
# out raises the limit of the next one.
_TIMEOUT_GROWTH_FACTOR = 2.0
_RETRY_DELAY_S = 0.1
_STATUS_FAILED = 500
_MS_PER_S = 1_000


class ScoringFailedError(DogwoodpostError):
    """The scorer has failed as often as its route allows."""


class _ScoringAttempts:
    """Failures, timeout and endpoints of the attempts to score one text.

    :param client_account_id: account that the text belongs to.
    """

    def __init__(self, client_account_id: ids.ClientAccountId | None) -> None:
        self.client_account_id = client_account_id
        self.failure_count = 0
        self.attempt_timeout_s = _INITIAL_TIMEOUT_S
        self.attempted_endpoint_ids: frozenset[ids.EndpointId] = frozenset()

    def record(
        self,
        head: AttemptHead | None,
        attempted_endpoint_ids: Iterable[ids.EndpointId],
        duration_s: float,
    ) -> None:
        """Record the outcome of an attempt.

        :param head: head of the response, None without a response.
        :param duration_s: duration of the attempt in seconds.
        """
        self.attempted_endpoint_ids = self.attempted_endpoint_ids.union(
            attempted_endpoint_ids
        )
        if duration_s >= self.attempt_timeout_s:
            self.attempt_timeout_s *= _TIMEOUT_GROWTH_FACTOR
        if head is not None and head.status == _STATUS_FAILED:
            self.failure_count += 1


class ItemScorer:
    """Calls the scorer of a text until it returns a score.

    :param score_header: name of the response header that holds the score.
    """

    def __init__(
        self,
        pipeline: RequestPipeline,
        routes: RouteFinder,
        clock: Clock,
        score_header: str,
    ) -> None:
        self._pipeline = pipeline
        self._routes = routes
        self._clock = clock
        self._score_header = score_header.lower()

    async def score(
        self,
        call: ScorerCall,
        client_account_id: ids.ClientAccountId | None,
    ) -> str:
        """Return the score of a text.

        :param client_account_id: account of the job. It is not billed for the
            call, but the text may only be sent to regions that it allows.
        :raises ScoringFailedError: the scorer failed as often as its route
            allows.
        """
        attempts = _ScoringAttempts(client_account_id)
        while True:
            route = self._routes.find(call.host, call.path)
            if route is not None:
                if attempts.failure_count >= route.max_attempt_count:
                    raise ScoringFailedError(
                        f'scorer failed {attempts.failure_count} times'
                    )
                score = await self._score_once(call, route, attempts)
                if score is not None:
                    return score
            await self._clock.sleep(_RETRY_DELAY_S)

    async def _score_once(
        self, call: ScorerCall, route: Route, attempts: _ScoringAttempts
    ) -> str | None:
        """Return the score, None if this attempt returned none."""
        start_s = self._clock.monotonic_s()
        new_endpoint_ids: list[ids.EndpointId] = []
        head = await self._send_request(
            call, route, attempts, new_endpoint_ids.append
        )
        attempts.record(
            head, new_endpoint_ids, self._clock.monotonic_s() - start_s
        )
        return self._score_from(head)

    async def _send_request(
        self,
        call: ScorerCall,
        route: Route,
        attempts: _ScoringAttempts,
        on_attempt: Callable[[ids.EndpointId], None],
    ) -> AttemptHead | None:
        """Return the head of the response, None without a response."""
        service = chosen_service(
            self._routes.configuration, route, call.request_id
        )
        if service is None:
            return None
        allowed_regions = self._routes.allowed_regions(
            route.name, attempts.client_account_id
        )
        request = PipelineRequest(
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
        )
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
            return None
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
        if head is None or not 200 <= head.status < 300:
            return None
        for name, value in head.headers:
            if name.lower() == self._score_header:
                return value
        return None
