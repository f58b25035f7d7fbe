"""Decoding of rows, event streams and settings that others write."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.configuration import RouteKind
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import SettingsError
from dogwoodpost.platform.configuration_rows import ConfigurationRows
from dogwoodpost.platform.endpoint_rows import EndpointRows
from dogwoodpost.platform.event_stream import EventDecoder
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import VersionedRow
from dogwoodpost.services.control.announced_versions import AnnouncedVersions
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.core.membership.test_endpoint_registry import FakeListener

REGIONS = {'zone-a': 'region-a', 'zone-b': 'region-b'}
ENTRY = {
    'service': 'engines',
    'address': '127.0.0.1:80',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'sequence': 5,
    'born': 100,
    'models': [{'name': 'm', 'version': 2, 'adapters': []}],
}


def operator_rows(
    clock: VirtualClock, registry: EndpointRegistry | None = None
) -> ConfigurationRows:
    registry = registry or EndpointRegistry(FakeListener())
    return ConfigurationRows(
        AnnouncedVersions(clock),
        clock,
        REGIONS,
        registry.set_evacuated_zones,
        max_age_s=None,
    )


def row(table: str, key: str, value: object, version: int) -> VersionedRow:
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return VersionedRow(RowKey(table, '', key), data, version)


@pytest.fixture
def listener() -> FakeListener:
    return FakeListener()


@pytest.fixture
def entries(listener: FakeListener) -> EndpointRows:
    return EndpointRows(EndpointRegistry(listener), ColdTracker(), REGIONS)


@pytest.mark.parametrize(
    'broken',
    [
        b'not json',
        b'\xff\xfe',
        {},
        {**ENTRY, 'slots': 'many'},
        {**ENTRY, 'address': None},
        {**ENTRY, 'state': 'resting'},
        {**ENTRY, 'models': [{'name': 'm'}]},
    ],
)
def test_malformed_entry_does_not_affect_other_entries(
    entries: EndpointRows, listener: FakeListener, broken: object
) -> None:
    """Guards against one malformed entry that keeps valid ones from use."""
    entries.apply(
        [row('servers', 'a', broken, 1), row('servers', 'b', ENTRY, 2)], 0.0
    )
    assert list(listener.endpoints) == ['b']


def test_older_entry_does_not_replace_a_newer_one(
    entries: EndpointRows, listener: FakeListener
) -> None:
    """Guards against a draining endpoint that an old entry makes ready."""
    draining = {**ENTRY, 'state': 'draining', 'sequence': 6}
    entries.apply([row('servers', 'a', draining, 1)], 0.0)
    entries.apply([row('servers', 'a', ENTRY, 2)], 0.0)
    assert listener.endpoints[ids.EndpointId('a')].draining
    restarted = {**ENTRY, 'born': 200, 'sequence': 1}
    entries.apply([row('servers', 'a', restarted, 3)], 0.0)
    assert not listener.endpoints[ids.EndpointId('a')].draining


@pytest.mark.parametrize(
    ('kind', 'resumable', 'route_kind', 'idempotent'),
    [
        ('safe', False, RouteKind.REQUEST, True),
        ('unsafe', False, RouteKind.REQUEST, False),
        ('unheard-of', False, RouteKind.REQUEST, False),
        ('streaming', False, RouteKind.STREAM, False),
        ('streaming', True, RouteKind.STREAM, True),
        ('rollout', False, RouteKind.BATCH, False),
    ],
)
def test_route_kinds_are_decoded(
    kind: str, resumable: bool, route_kind: RouteKind, idempotent: bool
) -> None:
    """Guards against retries of requests that may run only once."""
    clock = VirtualClock()
    source = operator_rows(clock)
    route = {
        'name': 'r',
        'host': 'h',
        'prefix': '/p/',
        'kind': kind,
        'service': 's',
        'resumable': resumable,
        'unknownField': 1,
    }
    configuration = {
        'version': 3,
        'routes': [route],
        'services': [{'name': 's'}],
        'tenants': [{'name': 't', 'apiKeys': ['k']}],
    }
    source.apply([row('op', 'config', configuration, 1)], 0.0)
    decoded = source.current().routes[ids.RouteName('r')]
    assert (decoded.kind, decoded.idempotent) == (route_kind, idempotent)
    assert not decoded.open_to_all


def test_malformed_or_older_configuration_is_not_applied() -> None:
    """Guards against a bad write that removes all routes."""
    clock = VirtualClock()
    source = operator_rows(clock)
    source.apply([row('op', 'config', {'version': 3}, 1)], 0.0)
    source.apply([row('op', 'config', b'{', 2)], 0.0)
    source.apply([row('op', 'config', {'version': 2}, 3)], 0.0)
    assert source.current().revision == 3


def test_rank_of_the_account_goes_before_that_of_the_route() -> None:
    """Guards against urgent requests that are put behind others."""
    source = operator_rows(VirtualClock())
    document = regional([])
    document['routes'][0]['priority'] = 2
    document['tenants'].append({'name': 'first', 'apiKeys': [], 'priority': 0})
    source.apply([row('op', 'config', document, 1)], 0.0)
    configuration = source.current()
    route = ids.RouteName('r')
    ordinary = configuration.priority(route, ids.ClientAccountId('t'))
    first = configuration.priority(route, ids.ClientAccountId('first'))
    assert ordinary == configuration.priority(route, None)
    assert first > ordinary


def test_allowed_regions_of_route_and_account_are_combined() -> None:
    """Guards against work that leaves a region to which it is confined."""
    source = operator_rows(VirtualClock())
    source.apply([row('op', 'config', regional(['region-a']), 1)], 0.0)
    configuration = source.current()
    route = ids.RouteName('r')
    account = ids.ClientAccountId('t')
    assert configuration.allowed_regions(route, None) == ANY_REGION
    both = configuration.allowed_regions(route, account)
    assert both.permits(ids.Region('region-a'))
    assert not both.permits(ids.Region('region-b'))


@pytest.mark.parametrize(
    'regions',
    [['region-a', 'elsewhere'], ['region-a', 'region-a'], 'region-a', [1]],
)
def test_invalid_regions_keep_the_configuration_in_force(
    regions: object,
) -> None:
    """Guards against a bad write that lifts a limit on regions."""
    source = operator_rows(VirtualClock())
    source.apply([row('op', 'config', regional(['region-b']), 1)], 0.0)
    before = source.current()
    changed = {**regional(regions), 'version': 9}
    source.apply([row('op', 'config', changed, 2)], 0.0)
    assert source.current() is before


def regional(regions: object) -> dict[str, Any]:
    """Return a configuration whose client account is limited to regions."""
    route = {
        'name': 'r',
        'host': 'h',
        'prefix': '/p/',
        'kind': 'safe',
        'service': 's',
        'allowedRegions': [],
    }
    return {
        'version': 3,
        'routes': [route],
        'services': [{'name': 's'}],
        'tenants': [
            {'name': 't', 'apiKeys': ['k'], 'allowedRegions': regions}
        ],
    }


def test_evacuated_zone_is_out_of_use_until_its_row_is_deleted(
    listener: FakeListener,
) -> None:
    """Guards against work for evacuated endpoints, also after a lost feed.

    A full read of the table replaces the history that the store dropped.
    """
    registry = EndpointRegistry(listener)
    entries = EndpointRows(registry, ColdTracker(), REGIONS)
    entries.apply([row('servers', 'e', ENTRY, 1)], 0.0)
    source = operator_rows(VirtualClock(), registry)
    evacuation = row('op', 'evacuate/zone-a', {}, 2)
    source.apply([evacuation], 0.0)
    entries.apply([row('servers', 'e', {**ENTRY, 'sequence': 6}, 3)], 0.0)
    assert not listener.endpoints[ids.EndpointId('e')].ready
    source.replace([evacuation], 0.0)
    source.apply([row('op', 'config', {'version': 3}, 4)], 0.0)
    assert not listener.endpoints[ids.EndpointId('e')].ready
    source.apply([VersionedRow(evacuation.key, None, 5)], 0.0)
    assert listener.endpoints[ids.EndpointId('e')].ready
    source.apply([evacuation], 0.0)
    source.replace([], 0.0)
    assert listener.endpoints[ids.EndpointId('e')].ready


def test_events_split_at_any_byte_are_decoded() -> None:
    """Guards against events that are lost when a read splits them."""
    data = b'x-weight-versions: 7\nid: 1\ndata: a\ndata: b\n\nid: 2\n\n'
    whole = EventDecoder().feed(data)
    decoder = EventDecoder()
    single = [
        event
        for number in range(len(data))
        for event in decoder.feed(data[number : number + 1])
    ]
    assert single == whole
    assert [event.event_id for event in whole] == [1, 2]
    assert whole[0].data == 'a\nb'
    assert whole[0].weight_version == 7


@pytest.mark.parametrize('data', [b'id: x\n\n', b'data: a\n\n'])
def test_malformed_event_is_refused(data: bytes) -> None:
    """Guards against output text that is taken from a malformed event."""
    with pytest.raises(EndpointError):
        EventDecoder().feed(data)


def test_stream_that_ends_inside_an_event_is_an_error() -> None:
    """Guards against a truncated stream that counts as complete."""
    decoder = EventDecoder()
    decoder.feed(b'id: 1\ndata: a')
    with pytest.raises(EndpointError):
        decoder.finish()


@pytest.mark.parametrize('text', ['', '{', '{"node": 1}', '[]'])
def test_error_for_malformed_settings_names_the_file(
    tmp_path_factory: pytest.TempPathFactory, text: str
) -> None:
    """Guards against processes that start with incomplete settings."""
    path = tmp_path_factory.mktemp('settings') / 'node.json'
    path.write_text(text)
    with pytest.raises(SettingsError, match=str(path)):
        load_settings(path)
