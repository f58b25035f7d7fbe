"""Start order of waiting items, and what makes them yield."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.batches.group_needs import ItemNeed
from dogwoodpost.core.batches.service_shares import ServiceShares
from dogwoodpost.core.batches.start_order import StartOrder
from dogwoodpost.core.batches.start_order import WaitingItem
from dogwoodpost.core.batches.start_order import YieldReason
from dogwoodpost.core.batches.trainer import Trainer
from dogwoodpost.core.batches.unused_offers import UnusedOffers
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.membership.peer_states import ItemDemand
from dogwoodpost.core.membership.peer_states import PeerDemand

SERVICE = ids.ServiceName('engines')
NEEDED, SPARE, LATE = ItemNeed.NEEDED, ItemNeed.SPARE, ItemNeed.LATE


def trainer(name: str) -> Trainer:
    return Trainer(SERVICE, ids.ModelName(name), None)


def item(
    number: int, name: str, due_s: float = 5.0, need: ItemNeed = NEEDED
) -> WaitingItem:
    request = PlacementRequest(
        service=SERVICE,
        model=ids.ModelName(name),
        min_version=None,
        due_s=due_s,
        expected_token_count=10,
    )
    waiting = WaitingItem.of(number, request, 0.0)
    waiting.need = need
    return waiting


def peer(
    name: str, running: int, waiting: int, start_by_s: float, age_s: float
) -> PeerDemand:
    demand = ItemDemand(
        service=SERVICE,
        model=ids.ModelName(name),
        running_count=running,
        waiting_count=waiting,
        start_by_s=start_by_s,
    )
    return PeerDemand(
        process_id=ids.ProcessId('p'), demand=demand, age_s=age_s
    )


def start_order(shares: ServiceShares, now_s: float = 0.0) -> StartOrder:
    return StartOrder({SERVICE: shares}, now_s)


@given(
    slot_count=st.integers(1, 60),
    waiting=st.dictionaries(st.sampled_from('abcde'), st.integers(1, 30)),
    weights=st.dictionaries(st.sampled_from('abcde'), st.floats(0.1, 10.0)),
)
def test_nobody_is_below_its_share_while_others_are_above(
    slot_count: int, waiting: dict[str, int], weights: dict[str, float]
) -> None:
    """Guards against a trainer that takes the slots of others."""
    counts = {trainer(name): count for name, count in waiting.items()}
    shares = ServiceShares(SERVICE, slot_count, {}, counts, (), weights)
    items = [
        item(number * 100 + place, name, due_s=number)
        for number, (name, count) in enumerate(waiting.items())
        for place in range(count)
    ]
    order = start_order(shares).items(items)
    for _, started in zip(range(slot_count), order, strict=False):
        shares.note_started(started.trainer)
    total = sum(shares.running_count(key) for key in counts)
    assert total == min(slot_count, len(items))
    for key in counts:
        assert not shares.missing_count(key)


def test_needed_items_go_before_spare_and_late_ones() -> None:
    """Guards against slots for groups that the trainer can't use.

    A late item is not starved: after 4 s it is ordered like the others.
    """
    counts = {trainer('a'): 3}
    shares = ServiceShares(SERVICE, 8, {}, counts, (), {})
    items = [
        item(0, 'a', 1.0, LATE),
        item(1, 'a', 2.0, SPARE),
        item(2, 'a', 3.0),
    ]
    order = start_order(shares).items(items)
    assert [entry.order[-1] for entry in order] == [2, 1, 0]
    assert next(start_order(shares, 4.0).items(items)).order[-1] == 0


@pytest.mark.parametrize(
    ('peers', 'need', 'slack_s', 'reason'),
    [
        ([peer('b', 0, 4, 3.0, 0.5)], NEEDED, 0.5, YieldReason.SHARE),
        # The state of a dead or frozen peer becomes too old.
        ([peer('b', 0, 4, 3.0, 0.95)], NEEDED, 0.5, None),
        # An old build sends no demands.
        ([], NEEDED, 5.0, None),
        ([peer('b', 9, 4, 0.4, 0.2)], NEEDED, 1.5, YieldReason.URGENCY),
        ([peer('b', 9, 4, 0.4, 0.0)], NEEDED, 1.5, None),
        ([peer('b', 9, 4, 0.2, 0.0)], NEEDED, 0.9, None),
        ([peer('b', 9, 4, 3.0, 0.0)], SPARE, 0.5, YieldReason.SPARE),
        ([peer('b', 9, 0, math.inf, 0.0)], SPARE, 0.5, None),
    ],
)
def test_items_yield_for_the_stated_reasons_only(
    peers: list[PeerDemand],
    need: ItemNeed,
    slack_s: float,
    reason: YieldReason | None,
) -> None:
    """Guards against yields to demands that are too old or not urgent."""
    a = trainer('a')
    shares = ServiceShares(SERVICE, 16, {a: 13}, {a: 8}, peers, {})
    claims = start_order(shares).claims(item(0, 'a', slack_s, need))
    assert (claims and claims.reason) == reason


@pytest.mark.parametrize(('need', 'limit_s'), [(NEEDED, 0.4), (SPARE, 2.0)])
def test_an_item_yields_for_a_limited_time(
    need: ItemNeed, limit_s: float
) -> None:
    """Guards against items that wait for a peer whose state is wrong."""
    a = trainer('a')
    demands = [peer('b', 0, 4, 3.0, 0.0)]
    shares = ServiceShares(SERVICE, 16, {a: 13}, {a: 8}, demands, {})
    waiting = item(0, 'a', need=need)
    waiting.first_yield_s = 1.0
    assert start_order(shares, 0.99 + limit_s).claims(waiting)
    assert not start_order(shares, 1.01 + limit_s).claims(waiting)


def test_offers_that_nobody_takes_are_paused() -> None:
    """Guards against slots left to items that can't use the endpoint.

    A rise of the others' requests or a full endpoint restarts the offer.
    """
    offers = UnusedOffers()
    counts = {'idle': [3] * 15, 'used': [3] * 8 + [4] * 7}
    for endpoint, other_counts in counts.items():
        for number, count in enumerate(other_counts):
            offers.note_offered(ids.EndpointId(endpoint), count, number * 0.03)
    for now_s in (0.0, 0.25, 0.5):
        offers.note_offered(ids.EndpointId('full at times'), 3, now_s)
    assert offers.unused_ids(0.5) == {'idle'}
    assert not offers.unused_ids(2.5)
