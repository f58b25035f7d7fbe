"""Decides where batch items run and when they move."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.token_loads import TokenLoads

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
    from dogwoodpost.core.routing import OpenEndpoint


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Constants of the placement of batch items.

    :param load_cost: share by which each running request slows the others of
        its endpoint.
    :param move_ratio: an item leaves an endpoint whose events come this many
        times slower than those of the best open one.
    """

    load_cost: float = 0.02
    move_ratio: float = 1.8


class ItemPlacement:
    """Compares endpoints by the time that they need for an event.

    Load: many streams of very different length, whose longest ones decide
    when a training step ends. Endpoints differ in speed, some by a factor of
    three for seconds, so pace counts for more than free places.
    """

    def __init__(
        self,
        pace: EndpointEventPace,
        settings: PlacementSettings | None = None,
    ) -> None:
        self._pace = pace
        self.token_loads = TokenLoads()
        self._settings = settings or PlacementSettings()

    def choose(
        self, candidates: Sequence[OpenEndpoint], now_s: float
    ) -> OpenEndpoint | None:
        """Return the endpoint with the lowest expected time per event."""
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda one: (self._cost(one, now_s), self._load(one)),
        )

    def should_move(
        self,
        endpoint_id: ids.EndpointId,
        candidates: Sequence[OpenEndpoint],
        now_s: float,
    ) -> bool:
        """Return whether a running item is better off elsewhere."""
        others = [
            one
            for one in candidates
            if one.endpoint.endpoint_id != endpoint_id
        ]
        best = self.choose(others, now_s)
        if best is None:
            return False
        own_ratio = self._pace.ratio(endpoint_id, now_s)
        best_ratio = self._pace.ratio(best.endpoint.endpoint_id, now_s)
        return own_ratio >= self._settings.move_ratio * max(best_ratio, 0.5)

    def _cost(self, one: OpenEndpoint, now_s: float) -> float:
        ratio = self._pace.ratio(one.endpoint.endpoint_id, now_s)
        return ratio * (1.0 + self._settings.load_cost * self._load(one))

    def _load(self, one: OpenEndpoint) -> float:
        excess = self.token_loads.excess(one.endpoint.endpoint_id)
        return max(one.load_count + excess, 0.0)
