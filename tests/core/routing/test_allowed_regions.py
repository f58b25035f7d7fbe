"""Regions to which a query confines the choice of an endpoint."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission.dispatcher import Dispatcher
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import RequestError

SERVICE = ids.ServiceName('s')
ACCOUNT = ids.ClientAccountId('buyers')
REGIONS = ('near', 'middle', 'far')
# Enough that the router samples instead of comparing all of them.
ENDPOINT_COUNT = 24


def allowing(*names: str) -> AllowedRegions:
    return AllowedRegions(frozenset(ids.Region(name) for name in names))


def region_of(number: int) -> str:
    return REGIONS[number % len(REGIONS)]


def new_router(seed: int) -> Router:
    router = Router(
        ids.AvailabilityZone('near-a'), ids.Region('near'), random.Random(seed)
    )
    for number in range(ENDPOINT_COUNT):
        region = region_of(number)
        router.upsert(
            Endpoint(
                endpoint_id=ids.EndpointId(f'e{number}'),
                service=SERVICE,
                availability_zone=ids.AvailabilityZone(f'{region}-a'),
                region=ids.Region(region),
                capacity_count=2,
            ),
            0.0,
        )
    return router


@given(
    seed=st.integers(0, 1_000),
    failed=st.sets(st.integers(0, ENDPOINT_COUNT - 1)),
    names=st.sets(st.sampled_from(REGIONS), min_size=1),
    requires_free_slot=st.booleans(),
    now_s=st.sampled_from([0.5, 3.0, 30.0]),
)
def test_choice_stays_in_the_allowed_regions(
    seed: int,
    failed: set[int],
    names: set[str],
    requires_free_slot: bool,
    now_s: float,
) -> None:
    """Guards against another region when the allowed one is ejected.

    Covers first attempts, retries, probes of ejected endpoints and the choice
    when all endpoints are ejected.
    """
    router = new_router(seed)
    for number in failed:
        for attempt in range(3):
            router.finish(
                SERVICE,
                ids.EndpointId(f'e{number}'),
                ids.AttemptId(f'{number}-{attempt}'),
                AttemptResult(failed=True),
                0.0,
            )
    query = RouteQuery(
        service=SERVICE,
        allowed_regions=allowing(*names),
        requires_free_slot=requires_free_slot,
    )
    chosen = router.choose(query, now_s)
    assert chosen is not None
    assert chosen.region in names
    available = router.available_endpoints(query, now_s)
    assert {choice.endpoint.region for choice in available} <= names


@pytest.mark.parametrize(
    ('allowed', 'code'),
    [
        (allowing(), 'no_allowed_region'),
        (allowing('elsewhere'), 'no_endpoint'),
    ],
)
def test_request_without_an_endpoint_in_its_regions_is_refused_at_once(
    allowed: AllowedRegions, code: str
) -> None:
    """Guards against requests that wait for what can't be served."""
    admission = Admission()
    admission.set_limits(ACCOUNT, NO_LIMITS, 0.0)
    dispatcher = Dispatcher(admission, new_router(1))
    ticket = Ticket(
        request_id=ids.RequestId('r'),
        client_account_id=ACCOUNT,
        service=SERVICE,
        estimated_tokens=1.0,
        deadline_s=3.0,
        enqueued_s=0.0,
    )
    query = RouteQuery(service=SERVICE, allowed_regions=allowed)
    with pytest.raises(RequestError) as raised:
        dispatcher.submit(ticket, query, ids.AttemptId('a'), 0.0)
    assert raised.value.code == code
    assert raised.value.not_run


def test_intersection_keeps_what_both_allow() -> None:
    """Guards against one limit that lifts another."""
    both = allowing('near', 'far').intersection(allowing('far', 'middle'))
    assert both == allowing('far')
    assert ANY_REGION.intersection(both) == both
    assert both.intersection(ANY_REGION) == both
    assert both.intersection(allowing('near')).is_empty
