"""Moves of a running item under the policy in force."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_gaps import EndpointGaps
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.expected_gap import ExpectedGap
from dogwoodpost.core.batches.item_length import ItemLength
from dogwoodpost.core.batches.move_cost import MoveCost
from dogwoodpost.core.batches.move_decision import MoveDecision
from dogwoodpost.core.batches.move_decision import MoveOutcome
from dogwoodpost.core.batches.output_lengths import OutputLengths
from dogwoodpost.core.policy import AdaptiveMovePolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.observability import Metrics
from dogwoodpost.services.batches.endpoint_slot import EndpointSlot
from dogwoodpost.services.batches.item_moves import ItemMoves
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.pipeline import endpoint

ADAPTIVE = Policy(adaptive_moves=AdaptiveMovePolicy(enabled=True))
SLOT = EndpointSlot(endpoint('e0', 'slate'), ids.AttemptId('a'), 1)
REQUEST: Any = None


class MovingDispatcher:
    """Moves items under one of the two rules and records the calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.decision = MoveDecision(
            MoveOutcome.CHOSEN, ExpectedGap(0.1, 0.1, 0.9)
        )

    def should_move(self, *args: object) -> bool:
        self.calls.append('should_move')
        return True

    def decide_move(self, *args: object) -> MoveDecision:
        self.calls.append('decide_move')
        return self.decision


@pytest.fixture
def context() -> Any:
    lengths = OutputLengths()
    lengths.record(100, 100)
    return SimpleNamespace(
        clock=VirtualClock(),
        dispatcher=MovingDispatcher(),
        pace=EndpointEventPace(),
        gaps=EndpointGaps(),
        lengths=lengths,
        move_cost=MoveCost(),
        metrics=Metrics(),
        policy=PolicyHolder(),
    )


@pytest.fixture
def moves(context: Any) -> ItemMoves:
    return ItemMoves(context, ItemLength(context.lengths, 60))


def count(context: Any, name: str) -> float:
    value = context.metrics.registry.get_sample_value(
        'dogwoodpost_events_total', {'name': f'item_move_{name}'}
    )
    return value or 0.0


def start(moves: ItemMoves, now_s: float) -> None:
    moves.begin_run()
    moves.begin_events(now_s)


def test_the_policy_switches_the_rule_during_a_run(
    context: Any, moves: ItemMoves
) -> None:
    """Guards against a switch that needs a restart, or acts while off."""
    start(moves, 0.0)
    assert moves.placement_event_count(10) is None
    assert not moves.moves_now(SLOT, REQUEST, 10, 0.19)
    assert moves.moves_now(SLOT, REQUEST, 10, 0.2)
    assert context.dispatcher.calls == ['should_move']
    assert moves.log_fields() == {}
    context.policy.replace(ADAPTIVE)
    assert moves.placement_event_count(10) == 50.0
    # Half of all items exceed their estimates and are not at their end then.
    assert moves.placement_event_count(80) == 20.0
    assert moves.moves_now(SLOT, REQUEST, 10, 0.4)
    assert context.dispatcher.calls == ['should_move', 'decide_move']
    context.policy.replace(Policy())
    assert [
        moves.moves_now(SLOT, REQUEST, 10, number + 1.0) for number in range(4)
    ] == [True, True, False, False]


def test_each_rule_records_its_own_pace(
    context: Any, moves: ItemMoves
) -> None:
    """Guards against double work for each event of a busy process."""
    start(moves, 0.0)
    for number in range(20):
        if number == 10:
            context.policy.replace(ADAPTIVE)
        moves.note_event(SLOT, 0.04 * number)
    assert context.pace._paces['e0'].gap_count == 9
    context.gaps.expected(ids.EndpointId('e0'), 0.8)
    assert list(context.gaps._gaps) == ['e0']


def test_events_read_with_the_first_one_are_no_gaps(
    context: Any, moves: ItemMoves
) -> None:
    """Guards against runs whose first events make their endpoint look fast."""
    context.policy.replace(ADAPTIVE)
    start(moves, 0.0)
    for now_s in (0.1, 0.1, 0.10002, 0.3, 0.3):
        moves.note_event(SLOT, now_s)
    gaps = context.gaps._gaps['e0']
    assert gaps.pending_count == 2
    assert gaps.pending_s == pytest.approx(0.2, abs=0.001)


def test_moves_are_logged_counted_and_compared_with_staying(
    context: Any, moves: ItemMoves
) -> None:
    """Guards against moves whose effect and cost nobody can see."""
    context.policy.replace(ADAPTIVE)
    start(moves, 0.0)
    assert moves.moves_now(SLOT, REQUEST, 10, 1.0)
    assert moves.log_fields() == {'gap_ms': 100, 'expected_end_ms': 5_000}
    assert count(context, 'chosen') == 1.0
    start(moves, 1.3)
    moves.note_event(SLOT, 1.5)
    assert context.move_cost.average_s == pytest.approx(0.15 + 0.1 * 0.35)
    assert moves.log_fields() == {}
    context.dispatcher.decision = MoveDecision(MoveOutcome.ITEMS_WAIT)
    assert not moves.moves_now(SLOT, REQUEST, 12, 2.0)
    assert count(context, 'declined_items_wait') == 1.0
    # 20 events after the move would have taken 2 s at the first endpoint.
    context.clock._now_s = 2.9
    moves.note_end(30)
    assert count(context, 'ended_sooner') == 1.0
    start(moves, 3.0)
    context.dispatcher.decision = MoveDecision(
        MoveOutcome.CHOSEN, ExpectedGap(0.1, 0.1, 0.9)
    )
    assert moves.moves_now(SLOT, REQUEST, 30, 4.0)
    context.clock._now_s = 9.0
    moves.note_end(40)
    assert count(context, 'ended_later') == 1.0
