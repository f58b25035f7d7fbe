"""Check of a configuration in the platform's format."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from dogwoodpost.platform.configuration_check import main
from dogwoodpost.services.entry.route_finder import RouteFinder
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.platform.test_decoding import operator_rows
from tests.platform.test_decoding import REGIONS
from tests.platform.test_decoding import row
from tests.platform.test_odd_rows import CONFIGURATION

if TYPE_CHECKING:
    from pathlib import Path

    from tests.platform.platform_site import Site

SETTINGS = {
    'node': 'n',
    'zone': 'zone-a',
    'region': 'region-a',
    'platform': {'address': '127.0.0.1:1'},
    'zones': REGIONS,
}
ROUTE = {'name': 'r', 'host': 'h', 'prefix': '/', 'kind': 'safe'}
VALUES = st.sampled_from(['', '/', '/a', 'h', 'H', 'h:1', 'region-a', 'x', 7])
routes = st.fixed_dictionaries(
    {
        'name': st.sampled_from(['a', 'b', 'c', 'd']),
        'host': VALUES,
        'prefix': VALUES,
        'kind': st.just('safe'),
    },
    optional={
        'service': VALUES,
        'timeoutMs': st.integers(),
        'allowedRegions': st.lists(VALUES, max_size=2),
    },
)


def run(path: Path, document: Any, *arguments: str) -> int:
    """Check a document with the settings of the site."""
    settings_path = path / 'settings.json'
    settings_path.write_bytes(msgspec.json.encode(SETTINGS))
    file = path / 'configuration.json'
    file.write_bytes(msgspec.json.encode(document))
    return main([str(file), '--settings', str(settings_path), *arguments])


@given(st.lists(routes, max_size=5))
@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_accepted_and_unreachable(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    generated: list[dict[str, Any]],
) -> None:
    """Guards against a passed document that the adapter refuses.

    And against a finding about a route that gets requests.
    """
    document = {'version': 3, 'routes': generated}
    code = run(tmp_path, document, '--format', 'json', '--limit', '1000')
    output = capsys.readouterr().out
    source = operator_rows(VirtualClock())
    source.replace([row('op', 'config', document, 1)], 0.0)
    assert (code == 0) == source.is_loaded
    if code != 0:
        return
    unreachable = {
        finding['place'].split('.')[1]
        for finding in json.loads(output)['findings']
        if 'hidden' in finding['found'] or 'never' in finding['found']
    }
    finder = RouteFinder(source)
    for host in ('', 'H:80', 'x', '7'):
        for raw_path in ('/', '/a?b', '/ab', '/b'):
            route = finder.find(host, raw_path)
            assert route is None or route.name not in unreachable


@pytest.mark.parametrize(
    ('change', 'place'),
    [
        ({'routes': [ROUTE, ROUTE]}, 'routes.r'),
        (
            {'routes': [{**ROUTE, 'timeoutMs': 1, 'targetLatencyMs': 2}]},
            'routes.r.timeout_ms',
        ),
        (
            {'services': [{'name': 's', 'scale': {'min': 'x'}}]},
            'services.s.scale',
        ),
        (
            {
                'tenants': [
                    {'name': 't', 'apiKeys': ['k']},
                    {'name': 'u', 'apiKeys': ['k']},
                ]
            },
            'client_accounts.t.keys',
        ),
    ],
)
def test_what_the_adapter_drops(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    change: dict[str, Any],
    place: str,
) -> None:
    """Guards against entries that vanish without a finding."""
    assert run(tmp_path, {**CONFIGURATION, **change}) == 0
    assert f'warning: {place}: ' in capsys.readouterr().out


def test_unknown_region(tmp_path: Path) -> None:
    """Guards against a pass of a document that the adapter refuses."""
    route = {**ROUTE, 'allowedRegions': ['nowhere']}
    assert run(tmp_path, {**CONFIGURATION, 'routes': [route]}) == 1


@pytest.mark.parametrize(
    'change', [{'version': None}, {'routes': [{'name': 'r'}]}]
)
def test_unreadable(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    change: dict[str, Any],
) -> None:
    """Guards against a traceback in place of a line and column."""
    assert run(tmp_path, {**CONFIGURATION, **change}) == 2
    assert 'configuration.json:1:' in capsys.readouterr().err


async def test_against_the_store(
    site: Site, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a comparison with something other than the row."""
    document = {**CONFIGURATION, 'version': 9}
    arguments = ('--in-force', site.store_address, '--format', 'json')
    site.configure({**document, 'routes': []})
    code = await asyncio.to_thread(run, tmp_path, document, *arguments)
    output = json.loads(capsys.readouterr().out)
    assert code == 0
    found = {item['place']: item['found'] for item in output['findings']}
    assert found['routes.r'] == 'added'


def test_store_out_of_reach(tmp_path: Path) -> None:
    """Guards against a pass without the comparison that was asked for."""
    arguments = ('--in-force', '127.0.0.1:1')
    assert run(tmp_path, CONFIGURATION, *arguments) == 2


def test_start_does_not_import_the_check() -> None:
    """Guards against a longer start-up of the process."""
    program = (
        'import sys, dogwoodpost.platform.__main__ as start\n'
        'import dogwoodpost.platform.launch\n'
        'print([name for name in sys.argv[1:] if name in sys.modules])'
    )
    output = subprocess.run(
        [
            sys.executable,
            '-c',
            program,
            'dogwoodpost.core.configuration.checks',
            'dogwoodpost.platform.configuration_check',
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    assert output.stdout.strip() == '[]'
