"""Placement of batch items under heavy load with slow endpoints."""

from __future__ import annotations

import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.token_loads import TokenLoads
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.batches.waiting_items import WaitingItems
from dogwoodpost.core.routing import AvailableEndpoint
from dogwoodpost.core.routing import Endpoint

CAPACITY = 16
STEP_S = 0.0006
TOKENS_PER_EVENT = 55
MEMORY_TOKENS = 44_000


def open_endpoint(name: str, load_count: int) -> AvailableEndpoint:
    endpoint = Endpoint(
        endpoint_id=ids.EndpointId(name),
        service=ids.ServiceName('engines'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
    )
    return AvailableEndpoint(endpoint, load_count)


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
    """Guards against placing all items at one endpoint."""
    candidates = [open_endpoint('a', 3), open_endpoint('b', 1)]
    chosen = ItemPlacement(pace).choose(candidates, 0.0)
    assert chosen is candidates[1]


def test_a_slow_endpoint_is_chosen_last_and_its_items_move(
    pace: EndpointEventPace,
) -> None:
    """Guards against long items that stay at an endpoint that became slow."""
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
    """Guards against items that leave a place and find no other one."""
    observe(pace, 'a', 0.15)
    observe(pace, 'b', 0.04)
    placement = ItemPlacement(pace)
    only = [open_endpoint('a', 5)]
    assert not placement.should_move(ids.EndpointId('a'), only, 0.0)


def test_a_slow_endpoint_is_tried_again(pace: EndpointEventPace) -> None:
    """Guards against endpoints that get no items after they recovered."""
    observe(pace, 'a', 0.15)
    observe(pace, 'b', 0.04)
    assert pace.gap_ratio(ids.EndpointId('a'), 1.0) > 3.0
    assert pace.gap_ratio(ids.EndpointId('a'), 10.0) == 1.0


def place_request(
    due_s: float, tokens: int, duration_s: float = 0.0
) -> PlacementRequest:
    return PlacementRequest(
        service=ids.ServiceName('engines'),
        model=None,
        min_version=None,
        due_s=due_s,
        expected_token_count=tokens,
        expected_duration_s=duration_s,
    )


def test_items_due_first_go_first_and_the_longest_of_them() -> None:
    """Guards against steps that wait for a long item that started last."""
    waiting = WaitingItems()
    late = waiting.add(place_request(9.0, 5_000))
    short = waiting.add(place_request(5.0, 100))
    long = waiting.add(place_request(5.0, 4_000))
    assert [number for number, _ in waiting.by_urgency()] == [
        long,
        short,
        late,
    ]


def test_an_item_that_must_start_now_goes_before_a_job_due_sooner() -> None:
    """Guards against steps that are late because of short items of another.

    The older job is due in 4 s and its item takes 1 s; the item of the newer
    job takes all of its 7.5 s.
    """
    waiting = WaitingItems()
    short = waiting.add(place_request(4.0, 1_600, 1.0))
    long = waiting.add(place_request(7.5, 12_000, 7.4))
    urgent = waiting.add(place_request(4.0, 6_400, 4.0))
    order = [number for number, _ in waiting.by_urgency()]
    assert order == [urgent, long, short]


def late_steps(*, by_start: bool, seed: int) -> int:
    """Return how many of 12 steps that arrive in pairs end late.

    The second step of a pair arrives shortly after the first. Steps of 100
    items run in 60 places and keep four fifths of them busy. One item in
    twelve is five times as long as the others.
    """
    rng = random.Random(seed)
    waiting = WaitingItems()
    ends: dict[int, list[float]] = {}
    items: dict[int, tuple[int, float]] = {}
    running: list[float] = []
    arrivals = [4.0 * step - 2.5 * (step % 2) for step in range(12)]
    now_s = 0.0
    step = 0
    while step < len(arrivals) or len(waiting):
        while step < len(arrivals) and arrivals[step] <= now_s:
            for _ in range(100):
                tail = 5.0 if rng.random() < 0.08 else 1.0
                length_s = min(rng.lognormvariate(0.0, 0.9) * tail, 7.4)
                due_s = now_s + 7.5
                number = waiting.add(
                    place_request(
                        due_s,
                        round(length_s * 1_600),
                        length_s if by_start else 0.0,
                    )
                )
                items[number] = (step, length_s)
            step += 1
        running = [end_s for end_s in running if end_s > now_s]
        for number, _ in list(waiting.by_urgency()):
            if len(running) >= 60:
                break
            item_step, length_s = items[number]
            ends.setdefault(item_step, []).append(now_s + length_s)
            running.append(now_s + length_s)
            waiting.remove(number)
        now_s += 0.05
    return sum(
        max(ends[number]) > arrivals[number] + 8.0 for number in range(12)
    )


def test_steps_end_in_time_if_items_are_ordered_by_latest_start() -> None:
    """Guards against steps whose long items wait for short ones of others."""
    seeds = range(10)
    by_start = sum(late_steps(by_start=True, seed=seed) for seed in seeds)
    by_due = sum(late_steps(by_start=False, seed=seed) for seed in seeds)
    assert by_start == 0
    assert by_due >= 10


def step_time_s(*, by_length: bool, seed: int) -> float:
    """Simulate a step of 72 items on two engines of 16 places, one slow.

    The load is that of the days with the most groups: most items are short,
    and one in twelve is five times as long.
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
    for number, _ in list(waiting.by_urgency()):
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
    """Guards against steps that end late because of one long item.

    This was seen on scale-1.
    """
    seeds = range(20)
    by_length = sum(step_time_s(by_length=True, seed=seed) for seed in seeds)
    in_order = sum(step_time_s(by_length=False, seed=seed) for seed in seeds)
    assert by_length < 0.9 * in_order


def most_tokens(*, by_tokens: bool, seed: int) -> int:
    """Return the tokens at the fullest of six endpoints as a step starts.

    The previous step still runs long items at three of the endpoints; the
    others have just loaded new weights.
    """
    rng = random.Random(seed)
    names = [f'engine-{number}' for number in range(6)]
    placement = ItemPlacement(EndpointEventPace())
    counts = dict.fromkeys(names, 0)
    tokens = dict.fromkeys(names, 0)

    def place(name: str, token_count: int) -> None:
        if by_tokens:
            placement.token_loads.add(ids.EndpointId(name), token_count)
        counts[name] += 1
        tokens[name] += token_count

    for number in range(6):
        place(names[number % 3], 8_000)
    lengths = [
        min(round(rng.lognormvariate(7.1, 0.9)), 12_800) for _ in range(56)
    ] + [12_800] * 5
    for token_count in sorted(lengths, reverse=True):
        candidates = [open_endpoint(name, counts[name]) for name in names]
        chosen = placement.choose(candidates, 0.0)
        assert chosen is not None
        place(str(chosen.endpoint.endpoint_id), token_count)
    assert max(counts.values()) <= CAPACITY
    return max(tokens.values())


def test_long_items_do_not_share_one_endpoints_memory() -> None:
    """Guards against steps whose longest items evict one another."""
    seeds = range(20)
    spread = [most_tokens(by_tokens=True, seed=seed) for seed in seeds]
    by_number = [most_tokens(by_tokens=False, seed=seed) for seed in seeds]
    assert max(spread) <= MEMORY_TOKENS
    assert all(
        token_count < other_count
        for token_count, other_count in zip(spread, by_number, strict=True)
    )


def test_ended_items_do_not_count_as_load() -> None:
    """Guards against endpoints that count as full forever."""
    token_loads = TokenLoads()
    engine = ids.EndpointId('engine')
    token_loads.add(engine, 5_000)
    token_loads.add(ids.EndpointId('other'), 100)
    assert token_loads.excess_item_count(engine) > 0.0
    token_loads.remove(engine, 5_000)
    assert token_loads.excess_item_count(engine) == 0.0
    token_loads.remove(ids.EndpointId('other'), 100)
    assert token_loads.excess_item_count(engine) == 0.0
