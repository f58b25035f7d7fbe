"""Hedging of the requests of one process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dogwoodpost.core.configuration import RouteKind
from dogwoodpost.core.hedging import HedgePolicy
from dogwoodpost.core.hedging import ServiceHistory
from dogwoodpost.core.hedging import ServiceState
from dogwoodpost.services.entry.request_hedge import RequestHedge

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.policy import HedgingPolicy
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.core.routing import RouteQuery
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.services.entry.attempt_context import AttemptContext
    from dogwoodpost.services.entry.request_state import RequestState


def _no_stop(_now_s: float) -> float:
    return math.inf


class Hedger:
    """Keeps the state of all routes and services that are hedged.

    The state is soft: without it nothing is hedged until there are enough
    latencies again.

    :param stop_left_s: returns the time until a graceful shutdown cuts
        requests, infinite without one.
    :param loading_endpoints: endpoints that load weights get no second
        attempts; None if none of them loads weights.
    """

    def __init__(
        self,
        context: AttemptContext,
        admission: Admission,
        policy: PolicyHolder,
        *,
        stop_left_s: Callable[[float], float] | None = None,
        loading_endpoints: LoadingEndpoints | None = None,
    ) -> None:
        self.context = context
        self._admission = admission
        self._policy = policy
        self._stop_left_s = stop_left_s or _no_stop
        self._loading_endpoints = loading_endpoints
        self._routes: dict[ids.RouteName, HedgePolicy] = {}
        self._histories: dict[ids.ServiceName, ServiceHistory] = {}

    @property
    def settings(self) -> HedgingPolicy:
        """Return the settings in force."""
        return self._policy.current().hedging

    def request_hedge(self, state: RequestState) -> RequestHedge | None:
        """Return the hedge of a request, None if it must not have one.

        Called before the first attempt is counted.
        """
        if not self.settings.enabled:
            return None
        request = state.request
        if not (
            request.is_client_request
            and request.idempotent
            and request.whole_response
            and request.route.kind is RouteKind.REQUEST
            and not request.route.resumable
            and state.max_attempt_count > 1
        ):
            return None
        route = request.route.name
        policy = self._routes.get(route)
        if policy is None:
            policy = self._routes[route] = HedgePolicy()
        return RequestHedge(self, policy, state)

    def history(self, service: ids.ServiceName) -> ServiceHistory:
        """Return the recent endpoints of a service."""
        history = self._histories.get(service)
        if history is None:
            history = self._histories[service] = ServiceHistory()
        return history

    def service_state(self, query: RouteQuery, now_s: float) -> ServiceState:
        """Return the state of the query's service."""
        return ServiceState(
            self.context.router.endpoint_snapshots(query, now_s),
            self._admission.waiting_count(query.service),
        )

    def stop_left_s(self, now_s: float) -> float:
        """Return the time until a graceful shutdown cuts requests."""
        return self._stop_left_s(now_s)

    def loading_endpoint_ids(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints that load weights of a model."""
        if self._loading_endpoints is None:
            return frozenset()
        return self._loading_endpoints.of_model(model, now_s)
