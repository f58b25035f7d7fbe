"""Endpoints with free slots that batch items may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.routing import RouteQuery

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Router
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints


class SlotCandidates:
    """Finds the endpoints that may take an item now.

    :param loading_endpoints: endpoints that currently load weights; they get
        no items of the model that they load.
    """

    def __init__(
        self, router: Router, loading_endpoints: LoadingEndpoints
    ) -> None:
        self._router = router
        self._loading_endpoints = loading_endpoints
        self._blocks: ExpiringKeys[
            tuple[ids.EndpointId, ids.ModelName | None]
        ] = ExpiringKeys()

    def block(
        self,
        endpoint_id: ids.EndpointId,
        model: ids.ModelName | None,
        until_s: float,
    ) -> None:
        """Offer an endpoint to no items of a model until a time."""
        self._blocks.add((endpoint_id, model), until_s)

    def available(
        self,
        request: PlacementRequest,
        now_s: float,
        *,
        is_move: bool = False,
    ) -> list[AvailableEndpoint]:
        """Return the endpoints that may take an item now."""
        excluded = self.excluded_ids(request.model, now_s)
        if now_s < request.avoided_until_s:
            excluded |= request.avoided_endpoint_ids
        query = RouteQuery(
            service=request.service,
            model=request.model,
            min_weight_version=request.min_version,
            excluded=excluded,
            allowed_regions=request.allowed_regions,
            may_probe=not is_move,
            may_use_cold=not is_move,
        )
        return self._router.available_endpoints(query, now_s)

    def preferred(
        self, request: PlacementRequest, now_s: float
    ) -> list[AvailableEndpoint]:
        """Return the endpoints other than the one that interrupted the item.

        That one is returned if there are no others.
        """
        candidates = self.available(request, now_s)
        others = [
            candidate
            for candidate in candidates
            if candidate.endpoint.endpoint_id
            != request.interrupted_endpoint_id
        ]
        return others or candidates

    def excluded_ids(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return endpoints that are blocked for a model or are loading it."""
        blocked = frozenset(
            endpoint_id
            for endpoint_id, blocked_model in self._blocks.current(now_s)
            if blocked_model == model
        )
        return blocked | self._loading_endpoints.of_model(model, now_s)
