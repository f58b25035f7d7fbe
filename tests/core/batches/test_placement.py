"""Placement of batch items on the heaviest load with slow endpoints."""

from __future__ import annotations

import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.waiting_items import PlaceRequest
from dogwoodpost.core.batches.waiting_items import WaitingItems
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import OpenEndpoint

CAPACITY = 16
STEP_S = 0.0006
TOKENS_PER_EVENT = 55


def open_endpoint(name: str, load_count: int) -> OpenEndpoint:
    endpoint = Endpoint(
        endpoint_id=ids.EndpointId(name),
        service=ids.ServiceName('engines'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
    )
    return OpenEndpoint(endpoint, load_count)


@pytest.fixture
def pace() -> EndpointEventPace:
    return EndpointEventPace()


def observe(
    pace: EndpointEventPace, name: str, gap_s: float, now_s: float = 0.0
) -> None:
    for _ in range(10):
        pace.record(ids.EndpointId(name), gap_s, now_s)


def test_the_least_loaded_of_equal_endpoints_is_chosen(
    pace: EndpointEventPace,
) -> None:
    """Guards against one endpoint that gets all items."""
    candidates = [open_endpoint('a', 3), open_endpoint('b', 1)]
    chosen = ItemPlacement(pace).choose(candidates, 0.0)
    assert chosen is candidates[1]


def test_a_slow_endpoint_is_chosen_last_and_left(
    pace: EndpointEventPace,
) -> None:
    """Guards against long items that stay on an endpoint that turned slow."""
    observe(pace, 'a', 0.15)
    observe(pace, 'b', 0.04)
    observe(pace, 'c', 0.04)
    placement = ItemPlacement(pace)
    candidates = [open_endpoint('a', 0), open_endpoint('b', 14)]
    chosen = placement.choose(candidates, 0.0)
    assert chosen is candidates[1]
    assert placement.should_move(ids.EndpointId('a'), candidates, 0.0)
    assert not placement.should_move(ids.EndpointId('b'), candidates, 0.0)


def test_nothing_moves_where_no_other_endpoint_is_open(
    pace: EndpointEventPace,
) -> None:
    """Guards against items that give up a place and find no other."""
    observe(pace, 'a', 0.15)
    observe(pace, 'b', 0.04)
    placement = ItemPlacement(pace)
    only = [open_endpoint('a', 5)]
    assert not placement.should_move(ids.EndpointId('a'), only, 0.0)


def test_a_slow_endpoint_is_tried_again(pace: EndpointEventPace) -> None:
    """Guards against endpoints that stay out after they have recovered."""
    observe(pace, 'a', 0.15)
    observe(pace, 'b', 0.04)
    assert pace.ratio(ids.EndpointId('a'), 1.0) > 3.0
    assert pace.ratio(ids.EndpointId('a'), 10.0) == 1.0


def place_request(due_s: float, tokens: int) -> PlaceRequest:
    return PlaceRequest(
        service=ids.ServiceName('engines'),
        model=None,
        min_version=None,
        due_s=due_s,
        expected_token_count=tokens,
    )


def test_the_job_due_first_goes_first_and_its_longest_item() -> None:
    """Guards against steps that wait for an item that began last."""
    waiting = WaitingItems()
    late = waiting.add(place_request(9.0, 5_000))
    short = waiting.add(place_request(5.0, 100))
    long = waiting.add(place_request(5.0, 4_000))
    assert [number for number, _ in waiting.in_order()] == [long, short, late]


def step_time_s(*, by_length: bool, seed: int) -> float:
    """Play one step of 72 items on two engines of 16 places, one slow.

    It is the load of the days with the most groups: most items are short, one
    in twelve is five times as long.
    """
    rng = random.Random(seed)
    lengths = [
        round(rng.lognormvariate(2.9, 0.5)) * (5 if rng.random() < 0.08 else 1)
        for _ in range(72)
    ]
    waiting = WaitingItems()
    for length in lengths:
        tokens = length * TOKENS_PER_EVENT if by_length else 1_000
        waiting.add(place_request(7.5, tokens))
    event_s = {'fast': STEP_S * TOKENS_PER_EVENT, 'slow': STEP_S * 150}
    pace = EndpointEventPace()
    for name, gap_s in event_s.items():
        observe(pace, name, gap_s)
    placement = ItemPlacement(pace)
    ends: list[tuple[float, str]] = []
    now_s = 0.0
    last_s = 0.0
    for number, _ in list(waiting.in_order()):
        while True:
            running = [name for end_s, name in ends if end_s > now_s]
            candidates = [
                open_endpoint(name, running.count(name))
                for name in event_s
                if running.count(name) < CAPACITY
            ]
            chosen = placement.choose(candidates, 0.0)
            if chosen is not None:
                break
            now_s = min(end_s for end_s, _ in ends if end_s > now_s)
        name = str(chosen.endpoint.endpoint_id)
        end_s = now_s + lengths[number] * event_s[name]
        ends.append((end_s, name))
        last_s = max(last_s, end_s)
    return last_s


def test_longest_items_first_end_the_heaviest_step_sooner() -> None:
    """Guards against a step on scale-1 that ends with a late long item."""
    seeds = range(20)
    by_length = sum(step_time_s(by_length=True, seed=one) for one in seeds)
    in_order = sum(step_time_s(by_length=False, seed=one) for one in seeds)
    assert by_length < 0.9 * in_order
