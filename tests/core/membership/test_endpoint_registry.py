"""Endpoints whose entries come and go."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.routing import Endpoint

if TYPE_CHECKING:
    from dogwoodpost.core.messages import CacheEvents
    from dogwoodpost.core.messages import EndpointLoad

ENGINE = ids.EndpointId('engine')
MODEL = ids.ModelName('model')


class FakeListener:
    """Remembers what is in use."""

    def __init__(self) -> None:
        self.known: dict[ids.EndpointId, Endpoint] = {}

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        self.known[endpoint.endpoint_id] = endpoint

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        self.known.pop(endpoint_id, None)

    def report_load(self, load: EndpointLoad, now_s: float) -> None:
        """Take nothing."""

    def record_cache_events(self, events: CacheEvents, now_s: float) -> None:
        """Take nothing."""


def endpoint(version: int = 1, born: str = '1') -> Endpoint:
    return Endpoint(
        endpoint_id=ENGINE,
        service=ids.ServiceName('engines'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
        agent_incarnation=ids.Incarnation(born),
        weight_versions={MODEL: ids.WeightVersion(version)},
    )


@pytest.fixture
def listener() -> FakeListener:
    return FakeListener()


@pytest.fixture
def registry(listener: FakeListener) -> EndpointRegistry:
    registry = EndpointRegistry(listener)
    registry.upsert(endpoint(), 0.0)
    registry.note_contact(0.0)
    return registry


def test_a_removed_entry_gets_no_work(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against work for endpoints that have left."""
    registry.remove(ENGINE, 0.5)
    assert listener.known == {}


def test_an_entry_may_come_back_after_an_outage(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against a fleet that is lost with the store."""
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    assert ENGINE in listener.known
    registry.upsert(endpoint(), 10.0)
    registry.note_contact(12.0)
    assert ENGINE in listener.known


def test_an_entry_that_stays_away_is_gone(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against endpoints that were lost during an outage."""
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    registry.note_contact(10.0)
    registry.note_contact(11.0)
    assert listener.known == {}


def test_versions_seen_before_the_entry_are_kept(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against an entry that takes back a version that is loaded."""
    versions = {MODEL: ids.WeightVersion(2)}
    registry.note_versions(ENGINE, ids.Incarnation('1'), versions, 1.0)
    registry.upsert(endpoint(version=1), 1.1)
    assert listener.known[ENGINE].version_of(MODEL) == 2
    registry.note_versions(ENGINE, ids.Incarnation('0'), {MODEL: 9}, 1.2)
    assert listener.known[ENGINE].version_of(MODEL) == 2


def test_a_restarted_endpoint_knows_nothing_of_before(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against versions of an earlier incarnation."""
    versions = {MODEL: ids.WeightVersion(2)}
    registry.note_versions(ENGINE, ids.Incarnation('1'), versions, 1.0)
    registry.upsert(endpoint(version=1, born='2'), 1.1)
    assert listener.known[ENGINE].version_of(MODEL) == 1


def test_a_leaving_endpoint_is_not_kept_over_an_outage(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against the time to come back for one that will not."""
    assert registry.note_leaving(endpoint(), 1.0)
    assert not registry.note_leaving(endpoint(), 1.1)
    assert listener.known[ENGINE].draining
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    assert listener.known == {}
    registry.upsert(endpoint(), 9.2)
    assert listener.known[ENGINE].draining
    registry.upsert(endpoint(born='2'), 9.3)
    assert not listener.known[ENGINE].draining


def test_a_late_announcement_of_an_earlier_incarnation(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against a restarted endpoint that is taken out of use."""
    registry.upsert(endpoint(born='2'), 1.0)
    registry.note_leaving(endpoint(born='1'), 1.1)
    assert not listener.known[ENGINE].draining
