"""Endpoints whose rows disappear and return."""

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
    """Records the endpoints in use."""

    def __init__(self) -> None:
        self.endpoints: dict[ids.EndpointId, Endpoint] = {}

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        self.endpoints[endpoint.endpoint_id] = endpoint

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        self.endpoints.pop(endpoint_id, None)

    def report_load(self, load: EndpointLoad, now_s: float) -> None:
        """Ignore the report."""

    def record_cache_events(self, events: CacheEvents, now_s: float) -> None:
        """Ignore the report."""


def endpoint(version: int = 1, incarnation: str = '1') -> Endpoint:
    return Endpoint(
        endpoint_id=ENGINE,
        service=ids.ServiceName('engines'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
        agent_incarnation=ids.Incarnation(incarnation),
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


def test_removed_endpoint_is_out_of_use(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against requests to endpoints whose row was removed."""
    registry.remove(ENGINE, 0.5)
    assert listener.endpoints == {}


def test_endpoint_may_register_again_after_an_outage(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against losing all endpoints when their rows expire.

    Rows expire during an outage of the store; endpoints that are alive write
    them again within the grace period.
    """
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    assert ENGINE in listener.endpoints
    registry.upsert(endpoint(), 10.0)
    registry.note_contact(12.0)
    assert ENGINE in listener.endpoints


def test_endpoint_that_does_not_register_again_is_removed(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against requests to endpoints that died during an outage."""
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    registry.note_contact(10.0)
    registry.note_contact(11.0)
    assert listener.endpoints == {}


def test_newer_weight_version_survives_an_older_row(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against an older row that reverts a loaded weight version."""
    versions = {MODEL: ids.WeightVersion(2)}
    registry.note_versions(ENGINE, ids.Incarnation('1'), versions, 1.0)
    registry.upsert(endpoint(version=1), 1.1)
    assert listener.endpoints[ENGINE].version_of(MODEL) == 2
    registry.note_versions(ENGINE, ids.Incarnation('0'), {MODEL: 9}, 1.2)
    assert listener.endpoints[ENGINE].version_of(MODEL) == 2


def test_restart_discards_recorded_weight_versions(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against weight versions of an earlier incarnation."""
    versions = {MODEL: ids.WeightVersion(2)}
    registry.note_versions(ENGINE, ids.Incarnation('1'), versions, 1.0)
    registry.upsert(endpoint(version=1, incarnation='2'), 1.1)
    assert listener.endpoints[ENGINE].version_of(MODEL) == 1


def test_leaving_endpoint_gets_no_grace_period(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against keeping an endpoint that will not register again."""
    assert registry.note_leaving(endpoint(), 1.0)
    assert not registry.note_leaving(endpoint(), 1.1)
    assert listener.endpoints[ENGINE].draining
    registry.note_contact(9.0)
    registry.remove(ENGINE, 9.1)
    assert listener.endpoints == {}
    registry.upsert(endpoint(), 9.2)
    assert listener.endpoints[ENGINE].draining
    registry.upsert(endpoint(incarnation='2'), 9.3)
    assert not listener.endpoints[ENGINE].draining


def test_leaving_notice_of_an_earlier_incarnation_is_ignored(
    registry: EndpointRegistry, listener: FakeListener
) -> None:
    """Guards against a late notice that takes a restarted endpoint out."""
    registry.upsert(endpoint(incarnation='2'), 1.0)
    registry.note_leaving(endpoint(incarnation='1'), 1.1)
    assert not listener.endpoints[ENGINE].draining
