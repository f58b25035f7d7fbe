"""Checks of a configuration: unreachable entries, limits and differences."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import RouteIndex
from dogwoodpost.core.configuration import validate
from dogwoodpost.core.configuration.checks import check_configuration
from dogwoodpost.core.configuration.checks import CheckContext
from dogwoodpost.core.configuration.checks import misnamed_entries
from dogwoodpost.core.configuration.checks import OWN_FORMAT
from dogwoodpost.core.configuration.checks import read_configuration
from dogwoodpost.core.configuration.checks import report
from dogwoodpost.core.configuration.checks import RouteMatching
from dogwoodpost.core.configuration.checks import Severity
from dogwoodpost.core.configuration.checks import warning
from dogwoodpost.core.configuration.checks.unreachable_routes import (
    unreachable_routes,
)
from dogwoodpost.core.decoding import convert_value
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.http.request_reader import _select_route
from dogwoodpost.services.entry.http.route_table import matching_routes
from dogwoodpost.services.entry.http.route_table import path_segments

PLAIN = {'name': 's', 'kind': 'plain'}
ROUTE = {'name': 'r', 'service': 's', 'path_prefix': '/r', 'open_to_all': True}
SITE = msgspec.structs.replace(
    OWN_FORMAT,
    matching=RouteMatching.HOST_AND_PREFIX,
    region_by_zone={ids.AvailabilityZone('z'): ids.Region('r1')},
    hedging_enabled=True,
)
SERVICES = {
    'plain': {'name': 'plain', 'kind': 'plain'},
    'e1': {'name': 'e1', 'kind': 'engine', 'model': 'm1'},
    'e2': {'name': 'e2', 'kind': 'engine', 'model': 'm2'},
}
PREFIXES = ('/', '/a', '/a/', '/a/b', '/a/./b', '//a', '/..')
HOST_PREFIXES = ('', '/', '/a', '/a?b', 'a', '/a b', '/a/')
HOSTS = ('', 'h', 'H', 'h:80', 'g')


def configuration(
    routes: list[dict[str, Any]], **sections: dict[str, Any]
) -> Configuration:
    document = {
        'services': {'s': PLAIN},
        'routes': {route['name']: route for route in routes},
        **sections,
    }
    return convert_value(document, Configuration)


def route(**fields: Any) -> dict[str, Any]:
    return {**ROUTE, **fields}


def places(
    checked: Configuration,
    context: CheckContext = OWN_FORMAT,
    before: Configuration | None = None,
) -> dict[str, Severity]:
    return {
        finding.place: finding.severity
        for finding in check_configuration(checked, context, before)
    }


route_lists = st.lists(
    st.fixed_dictionaries(
        {
            'service': st.sampled_from(sorted(SERVICES)),
            'path_prefix': st.sampled_from(PREFIXES),
        }
    ),
    max_size=6,
)


def selected_by_requests(checked: Configuration) -> set[str]:
    """Return the routes that the entry selects for any of many requests."""
    selected = set()
    for prefix in PREFIXES:
        for model in ('m1', 'm2'):
            body = msgspec.json.encode(
                {'model': model, 'prompt': 'p', 'max_tokens': 1}
            )
            raw_path = f'/{prefix.strip("/")}/v1/completions'
            raw_path = raw_path.replace('//', '/')
            request: Any = SimpleNamespace(method='POST', raw_path=raw_path)
            try:
                routes = matching_routes(checked, path_segments(raw_path))
                chosen, _ = _select_route(checked, routes, request, body)
            except RequestError:
                continue
            selected.add(chosen.name)
    return selected


@given(route_lists)
def test_unreachable_in_own_format(routes: list[dict[str, Any]]) -> None:
    """Guards against a finding about a route that gets requests, or none."""
    named = [
        {'name': f'r{index}', **fields} for index, fields in enumerate(routes)
    ]
    checked = configuration(named, services=SERVICES)
    findings = unreachable_routes(checked, RouteMatching.SEGMENTS_AND_MODEL)
    reported = {finding.place.split('.')[1] for finding in findings}
    assert selected_by_requests(checked) == set(checked.routes) - reported


@given(
    st.lists(
        st.fixed_dictionaries(
            {
                'host': st.sampled_from(HOSTS),
                'path_prefix': st.sampled_from(HOST_PREFIXES),
            }
        ),
        max_size=8,
    )
)
def test_unreachable_by_host(routes: list[dict[str, Any]]) -> None:
    """Guards against a finding about a route that gets requests, or none."""
    named = [route(name=f'r{n}', **fields) for n, fields in enumerate(routes)]
    checked = configuration(named)
    index = RouteIndex(checked.routes.values())
    selected = set()
    for host in ('', 'H:1', 'g'):
        for raw_path in ('/', '/a', '/a?b', '/a/', '/b'):
            found = index.find(host, raw_path)
            selected |= {found.name} if found is not None else set()
    findings = unreachable_routes(checked, RouteMatching.HOST_AND_PREFIX)
    reported = {
        finding.place.split('.')[1]
        for finding in findings
        if finding.severity is Severity.WARNING
    }
    # A longer prefix may take all the paths of this small set.
    assert not selected & reported


@given(route_lists)
def test_document_is_what_the_product_validates(
    routes: list[dict[str, Any]],
) -> None:
    """Guards against a check of something other than what is sent."""
    named = [route(name=f'r{n}', **fields) for n, fields in enumerate(routes)]
    sent = configuration(named, services=SERVICES)
    data = b'// sent\n' + msgspec.json.encode(sent)
    assert validate(read_configuration(data)) == validate(sent)
    assert read_configuration(data) == sent


def key(**fields: Any) -> dict[str, Any]:
    return {'key_id': 'k', 'client_account_id': 'c', 'digest': 'd', **fields}


ACCOUNT = {'client_account_id': 'c'}
LIMITED = {'regions': ['r2']}
CLOSED = {'open_to_all': False, 'client_account_ids': ['c']}
CASES: dict[str, tuple[Configuration, str]] = {
    'hidden': (
        configuration([route(), route(name='b', path_prefix='/r/')]),
        'routes.b',
    ),
    'unused service': (
        configuration([route()], services={'s': PLAIN, 't': PLAIN}),
        'services.t',
    ),
    'undeclared service': (configuration([route(service='x')]), 'routes.r'),
    'key of no account': (
        configuration([route()], keys={'k': key(revoked=True)}),
        'keys.k',
    ),
    'key of a disabled account': (
        configuration(
            [route()],
            keys={'k': key()},
            client_accounts={'c': {**ACCOUNT, 'enabled': False}},
        ),
        'keys.k',
    ),
    'no account': (
        configuration([route(open_to_all=False)]),
        'routes.r.client_account_ids',
    ),
    'weight zero': (
        configuration(
            [route(weighted_services=[{'service': 's', 'weight': 0}])]
        ),
        'routes.r.weighted_services.0',
    ),
    'attempts': (
        configuration([route(max_attempt_count=17)]),
        'routes.r.max_attempt_count',
    ),
    'due time': (
        configuration([route(kind='batch', due_ms=2, item_lifetime_s=0.001)]),
        'routes.r.due_ms',
    ),
    'resumable': (
        configuration([route(resumable=True, max_attempt_count=1)]),
        'routes.r.resumable',
    ),
    'no common region': (
        configuration(
            [route(**CLOSED, allowed_regions={'regions': ['r1']})],
            client_accounts={'c': {**ACCOUNT, 'allowed_regions': LIMITED}},
        ),
        'client_accounts.c.allowed_regions',
    ),
}


@pytest.mark.parametrize('name', CASES)
def test_kinds_of_warnings(name: str) -> None:
    """Guards against a contradiction that is not reported."""
    checked, place = CASES[name]
    assert places(checked)[place] is Severity.WARNING


def test_findings_that_need_the_site() -> None:
    """Guards against findings on regions and hedging without the settings."""
    checked = configuration(
        [route(allowed_regions=LIMITED, max_attempt_count=1, host='h')]
    )
    assert places(checked) == {}
    assert places(checked, SITE) == {
        'routes.r.allowed_regions': Severity.WARNING,
        'routes.r.max_attempt_count': Severity.INFO,
    }


def test_differences() -> None:
    """Guards against a loss of service that a change does not show."""
    accounts = {'c': ACCOUNT}
    before = configuration(
        [route(), route(name='b', path_prefix='/b')],
        keys={'k': key(), 'k2': key(digest='d2')},
        client_accounts=accounts,
    )
    after = configuration(
        [route(timeout_ms=5, path_prefix='/x', allowed_regions=LIMITED)],
        keys={'k': key(revoked=True), 'k3': key(digest='d3')},
        client_accounts=accounts,
    )
    assert places(after, before=before) == {
        'routes.r.timeout_ms': Severity.INFO,
        'routes.r.path_prefix': Severity.WARNING,
        'routes.r.allowed_regions': Severity.WARNING,
        'routes.b': Severity.WARNING,
        'keys.k.revoked': Severity.WARNING,
        'keys.k2': Severity.WARNING,
        'keys.k3': Severity.INFO,
    }


def test_entry_under_another_name() -> None:
    """Guards against a reference that finds no entry of the stated name."""
    checked = configuration([route()], services={'s': PLAIN, 't': PLAIN})
    assert [finding.place for finding in misnamed_entries(checked)] == [
        'services.t.name'
    ]


@pytest.mark.parametrize('limit', [0, 1, 3])
def test_report_states_what_is_left_out(limit: int) -> None:
    """Guards against a cut list that looks complete."""
    result = report((warning(f'{n}', 'f', 'a') for n in range(3)), limit)
    assert len(result.findings) == limit
    assert result.omitted_count == 3 - limit
    assert ('more not shown' in result.to_text()) == (limit < 3)
    assert result.exit_code == 0
