"""Moves of one running batch item between endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.batches.endpoint_gaps import READ_DURATION_S
from dogwoodpost.core.batches.expected_gap import ExpectedGap
from dogwoodpost.core.batches.move_decision import MAX_MOVE_COUNT
from dogwoodpost.core.batches.move_decision import MoveOutcome
from dogwoodpost.core.batches.running_item import RunningItem

if TYPE_CHECKING:
    from dogwoodpost.core.batches.item_length import ItemLength
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.endpoint_slot import EndpointSlot

_CHECK_INTERVAL_S = 0.2


class _Move(msgspec.Struct, frozen=True):
    """A move, with what was expected at the endpoint that the item left."""

    left_s: float
    event_count: int
    left_gap: ExpectedGap
    remainder: float


class ItemMoves:
    """Records the pace of an item's runs and decides when it moves.

    The policy in force is asked at each event, so that a change of
    ``adaptive_moves`` takes effect during a run.
    """

    def __init__(self, context: BatchContext, length: ItemLength) -> None:
        self._context = context
        self._length = length
        self._move_count = 0
        self._run_start_s = 0.0
        self._first_event_s = 0.0
        self._last_event_s: float | None = None
        self._next_check_s = 0.0
        self._moves: list[_Move] = []
        self._pending_move: _Move | None = None
        self._measured_move: _Move | None = None

    @property
    def _is_adaptive(self) -> bool:
        return self._context.policy.current().adaptive_moves.enabled

    def typical_gap_s(self, now_s: float) -> float:
        """Return the median gap of all endpoints, 0.0 if it is unknown."""
        if self._is_adaptive:
            return self._context.gaps.typical_gap_s(now_s)
        return self._context.pace.typical_gap_s(now_s)

    def placement_event_count(self, event_count: int) -> float | None:
        """Return the events left for the choice of an endpoint.

        None if endpoints are compared without regard to it.

        :param event_count: number of events received so far.
        """
        if self._is_adaptive:
            return self._length.remainder(event_count)
        return None

    def begin_run(self) -> None:
        """Record that the item has got a slot."""
        self._measured_move = self._pending_move
        self._pending_move = None

    def begin_events(self, now_s: float) -> None:
        """Record that a run's response has begun."""
        self._run_start_s = now_s
        self._last_event_s = None
        self._next_check_s = now_s + _CHECK_INTERVAL_S

    def note_event(self, slot: EndpointSlot, now_s: float) -> None:
        """Record an event of the run."""
        if self._last_event_s is None:
            self._note_first_event(now_s)
        else:
            self._record_gap(slot, now_s - self._last_event_s, now_s)
        self._last_event_s = now_s

    def moves_now(
        self,
        slot: EndpointSlot,
        request: PlacementRequest,
        event_count: int,
        now_s: float,
    ) -> bool:
        """Return whether the run ends here and the item moves.

        :param event_count: number of events received so far.
        """
        if now_s < self._next_check_s:
            return False
        self._next_check_s = now_s + _CHECK_INTERVAL_S
        if self._is_adaptive:
            moves = self._ends_sooner_elsewhere(
                slot, request, event_count, now_s
            )
        else:
            moves = (
                self._move_count < MAX_MOVE_COUNT
                and self._context.dispatcher.should_move(slot, request)
            )
        if moves:
            self._move_count += 1
        return moves

    def note_end(self, event_count: int) -> None:
        """Compare the item's end with the ends expected without its moves.

        The number of events that followed a move is known now, so an error of
        the expected length has no effect.

        :param event_count: number of events of the complete output.
        """
        now_s = self._context.clock.monotonic_s()
        for move in self._moves:
            followed_count = max(event_count - move.event_count, 0)
            expected_s = move.left_s + move.left_gap.duration_s(followed_count)
            name = 'sooner' if now_s <= expected_s else 'later'
            self._count(f'ended_{name}')
        self._moves.clear()

    def log_fields(self) -> dict[str, int]:
        """Return what was expected of the run if it ended with a move."""
        move = self._pending_move
        if move is None:
            return {}
        duration_s = move.left_gap.duration_s(move.remainder)
        return {
            'gap_ms': round(duration_s / move.remainder * 1_000),
            'expected_end_ms': round(duration_s * 1_000),
        }

    def _note_first_event(self, now_s: float) -> None:
        self._first_event_s = now_s
        move = self._measured_move
        if move is not None:
            gap_s = self._context.gaps.typical_gap_s(now_s)
            self._context.move_cost.record(now_s - move.left_s - gap_s)
            self._measured_move = None

    def _record_gap(
        self, slot: EndpointSlot, gap_s: float, now_s: float
    ) -> None:
        endpoint_id = slot.endpoint.endpoint_id
        if not self._is_adaptive:
            self._context.pace.record(endpoint_id, gap_s, now_s)
        # The time of events that were read together with the first one of a
        # run is unknown.
        elif now_s - self._first_event_s >= READ_DURATION_S:
            self._context.gaps.record(endpoint_id, gap_s, now_s)

    def _ends_sooner_elsewhere(
        self,
        slot: EndpointSlot,
        request: PlacementRequest,
        event_count: int,
        now_s: float,
    ) -> bool:
        remainder = self._length.remainder(event_count)
        item = RunningItem(
            event_count=remainder,
            run_duration_s=now_s - self._run_start_s,
            move_count=self._move_count,
            move_cost_s=self._context.move_cost.average_s,
        )
        decision = self._context.dispatcher.decide_move(slot, request, item)
        outcome = decision.outcome
        if outcome is not MoveOutcome.CHOSEN or decision.own_gap is None:
            self._count(f'declined_{outcome.value}')
            return False
        self._count(outcome.value)
        move = _Move(now_s, event_count, decision.own_gap, remainder)
        self._moves.append(move)
        self._pending_move = move
        return True

    def _count(self, name: str) -> None:
        self._context.metrics.events.labels(f'item_move_{name}').inc()
