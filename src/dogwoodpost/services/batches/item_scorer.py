"""Scores finished texts through the routes of the configuration."""

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
    from dogwoodpost.core.batches import ScorerCall
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.route_finder import RouteFinder

_log = structlog.get_logger(__name__)
# Most answers come much sooner; a silent endpoint costs no more than this.
_FIRST_TIMEOUT_S = 1.0
# Some texts take longer to score, at whichever endpoint.
_TIMEOUT_FACTOR = 2.0
_PAUSE_S = 0.1
_STATUS_FAILED = 500
_MS_PER_S = 1_000


class ScoringFailedError(DogwoodpostError):
    """The scorer has failed as often as its route allows."""


class _Tries:
    """What the tries to score one text have brought so far."""

    def __init__(self) -> None:
        self.failure_count = 0
        self.limit_s = _FIRST_TIMEOUT_S
        self.endpoint_ids: frozenset[ids.EndpointId] = frozenset()

    def note(
        self,
        head: AttemptHead | None,
        endpoint_ids: Iterable[ids.EndpointId],
        duration_s: float,
    ) -> None:
        """Take the end of a try."""
        self.endpoint_ids = self.endpoint_ids.union(endpoint_ids)
        if duration_s >= self.limit_s:
            self.limit_s *= _TIMEOUT_FACTOR
        if head is not None and head.status == _STATUS_FAILED:
            self.failure_count += 1


class ItemScorer:
    """Calls scorers until one answers.

    :param score_header: header of the response that holds the score.
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

    async def score(self, call: ScorerCall) -> str:
        """Return the score of a text.

        :raises ScoringFailedError: the scorer failed too often.
        """
        tries = _Tries()
        while True:
            route = self._routes.find(call.host, call.path)
            if route is not None:
                if tries.failure_count >= route.max_attempt_count:
                    raise ScoringFailedError(
                        f'{tries.failure_count} failures of the scorer'
                    )
                score = await self._score_once(call, route, tries)
                if score is not None:
                    return score
            await self._clock.sleep(_PAUSE_S)

    async def _score_once(
        self, call: ScorerCall, route: Route, tries: _Tries
    ) -> str | None:
        """Return the score, None if this try brought none."""
        start_s = self._clock.monotonic_s()
        tried: list[ids.EndpointId] = []
        head = await self._try(call, route, tries, tried.append)
        tries.note(head, tried, self._clock.monotonic_s() - start_s)
        return self._score_of(head)

    async def _try(
        self,
        call: ScorerCall,
        route: Route,
        tries: _Tries,
        on_attempt: Callable[[ids.EndpointId], None],
    ) -> AttemptHead | None:
        """Return the head of a response, None without a response."""
        service = chosen_service(
            self._routes.configuration, route, call.request_id
        )
        if service is None:
            return None
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
            timeout_s=min(route.timeout_ms / _MS_PER_S, tries.limit_s),
            idempotent=True,
            max_attempt_count=1,
            whole_response=True,
            excluded=self._avoided(service.name, tries.endpoint_ids),
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

    def _avoided(
        self,
        service: ids.ServiceName,
        failed_at: frozenset[ids.EndpointId],
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints to leave out, none if no others have room."""
        query = RouteQuery(
            service=service, excluded=failed_at, may_probe=False
        )
        now_s = self._clock.monotonic_s()
        if self._pipeline.router.choose(query, now_s) is None:
            return frozenset()
        return failed_at

    def _score_of(self, head: AttemptHead | None) -> str | None:
        if head is None or not 200 <= head.status < 300:
            return None
        for name, value in head.headers:
            if name.lower() == self._score_header:
                return value
        return None
