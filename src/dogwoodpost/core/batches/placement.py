"""Decides where batch items run and when running items move."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.endpoint_gaps import EndpointGaps
from dogwoodpost.core.batches.move_decision import decide_move
from dogwoodpost.core.batches.move_decision import MoveDecision
from dogwoodpost.core.batches.token_loads import TokenLoads

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
    from dogwoodpost.core.batches.running_item import RunningItem
    from dogwoodpost.core.routing import AvailableEndpoint

# Assumed number of events left while the lengths of outputs are unknown.
_UNKNOWN_EVENT_COUNT = 25.0


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the placement of batch items.

    :param slowdown_per_request: fraction by which each running request slows
        down the other requests of its endpoint.
    :param move_ratio: an item moves if the time between its endpoint's events
        is this many times that of the best open endpoint.
    """

    slowdown_per_request: float = 0.02
    move_ratio: float = 1.8


class ItemPlacement:
    """Compares endpoints by their expected time per event.

    If the number of events left is given, endpoints are compared by the
    expected end of the item instead.

    Streams differ widely in length, and the longest ones decide when a
    training step ends. Endpoints differ in speed, some by a factor of three
    for seconds at a time, so speed counts for more than free places.
    """

    def __init__(
        self,
        pace: EndpointEventPace,
        settings: PlacementSettings | None = None,
        gaps: EndpointGaps | None = None,
    ) -> None:
        self._pace = pace
        self._gaps = gaps or EndpointGaps()
        self.token_loads = TokenLoads()
        self._settings = settings or PlacementSettings()

    def choose(
        self,
        candidates: Sequence[AvailableEndpoint],
        now_s: float,
        event_count: float | None = None,
    ) -> AvailableEndpoint | None:
        """Return the endpoint with the lowest expected time per event.

        :param event_count: expected number of events left, 0.0 if unknown; if
            given, the endpoint with the earliest expected end is returned.
        """
        if not candidates:
            return None
        if event_count is not None:
            return self._earliest_end(candidates, now_s, event_count)
        return min(
            candidates,
            key=lambda candidate: (
                self._time_per_event(candidate, now_s),
                self._load(candidate),
            ),
        )

    def should_move(
        self,
        endpoint_id: ids.EndpointId,
        candidates: Sequence[AvailableEndpoint],
        now_s: float,
    ) -> bool:
        """Return whether a running item should move to a faster endpoint."""
        others = [
            candidate
            for candidate in candidates
            if candidate.endpoint.endpoint_id != endpoint_id
        ]
        best = self.choose(others, now_s)
        if best is None:
            return False
        own_ratio = self._pace.gap_ratio(endpoint_id, now_s)
        best_ratio = self._pace.gap_ratio(best.endpoint.endpoint_id, now_s)
        return own_ratio >= self._settings.move_ratio * max(best_ratio, 0.5)

    def decide_move(
        self,
        endpoint_id: ids.EndpointId,
        candidates: Sequence[AvailableEndpoint],
        item: RunningItem,
        now_s: float,
    ) -> MoveDecision:
        """Decide by the expected ends whether a running item moves.

        :param endpoint_id: endpoint where the item runs.
        """
        others = [
            candidate
            for candidate in candidates
            if candidate.endpoint.endpoint_id != endpoint_id
        ]
        own_gap = self._gaps.expected(endpoint_id, now_s)
        best = self.choose(others, now_s, item.event_count)
        if best is None:
            return MoveDecision(decide_move(item, own_gap, None), own_gap)
        best_gap = self._gaps.expected(best.endpoint.endpoint_id, now_s)
        # The gaps include the present loads; the item itself adds to it.
        end_s = best_gap.duration_s(item.event_count) * (
            1.0 + self._settings.slowdown_per_request
        )
        return MoveDecision(decide_move(item, own_gap, end_s), own_gap)

    def _earliest_end(
        self,
        candidates: Sequence[AvailableEndpoint],
        now_s: float,
        event_count: float,
    ) -> AvailableEndpoint:
        known_count = event_count or _UNKNOWN_EVENT_COUNT

        def sort_key(candidate: AvailableEndpoint) -> tuple[float, float]:
            endpoint_id = candidate.endpoint.endpoint_id
            gap = self._gaps.expected(endpoint_id, now_s)
            load = self._load(candidate)
            factor = 1.0 + self._settings.slowdown_per_request * load
            return (gap.duration_s(known_count) * factor, load)

        return min(candidates, key=sort_key)

    def _time_per_event(
        self, candidate: AvailableEndpoint, now_s: float
    ) -> float:
        """Return the expected time per event, relative to the median."""
        ratio = self._pace.gap_ratio(candidate.endpoint.endpoint_id, now_s)
        return ratio * (
            1.0 + self._settings.slowdown_per_request * self._load(candidate)
        )

    def _load(self, candidate: AvailableEndpoint) -> float:
        """Return the load, in items of the mean length."""
        excess = self.token_loads.excess_item_count(
            candidate.endpoint.endpoint_id
        )
        return max(candidate.load_count + excess, 0.0)
