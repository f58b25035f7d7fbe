"""Rows, reports, events and submissions with odd content.

Another writer may leave anything in a row, and an endpoint or a client may
send anything. None of it may raise an error that ends the process.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import RequestError
from dogwoodpost.platform.batch_calls import _decode_job
from dogwoodpost.platform.endpoint_rows import EndpointRows
from dogwoodpost.platform.event_stream import EventDecoder
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import VersionedRow
from dogwoodpost.services.batches.job_directory import JobDirectory
from dogwoodpost.services.control.endpoint_versions import EndpointVersions
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.core.membership.test_endpoint_registry import FakeListener
from tests.platform.test_decoding import ENTRY
from tests.platform.test_decoding import operator_rows
from tests.platform.test_decoding import REGIONS
from tests.platform.test_decoding import row

if TYPE_CHECKING:
    from collections.abc import Callable

CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'prefix': '/p/',
            'kind': 'rollout',
            'service': 's',
            'timeoutMs': 1_000,
            'dueMs': 2_000,
            'queueTtlS': 60,
            'maxAttempts': 3,
            'priority': 1,
            'weightedServices': [{'service': 's', 'weight': 1}],
        }
    ],
    'services': [
        {
            'name': 's',
            'engine': {'slots': 1},
            'scale': {'min': 1, 'max': 2, 'bootS': 5},
            'coldStartS': 1,
            'coldPerS': 2,
        }
    ],
    'tenants': [{'name': 't', 'apiKeys': ['k'], 'priority': 0}],
    'limits': {'maxBodyBytes': 100},
}
JOB = {
    'step': 1,
    'model': 'm',
    'minVersion': 1,
    'desired': 1,
    'requests': [
        {
            'id': 'item-1',
            'path': '/p/1',
            'headers': {'X-Length-Hint': '12', 'X-Model': 'm'},
            'body': 'AAAA',
            'tokens': 5,
            'group': 'g',
            'scorer': {'id': 'score-1', 'host': 'h', 'path': '/s/1'},
        }
    ],
}
# Replaces a value of a valid document with odd JSON.
ODD_JSON = strategies.one_of(
    strategies.sampled_from(
        [
            b'[' * 3_000,
            b'[' * 3_000 + b']' * 3_000,
            b'{"a":' * 3_000 + b'1' + b'}' * 3_000,
            b'9' * 400,
            b'-' + b'9' * 5_000,
            b'1e400',
            b'-1',
            b'"\xff\xfe"',
            b'"\\r\\nX-Tenant: other"',
            b'"\\u0000"',
            b'""',
            b'"' + b'x' * 70_000 + b'"',
            b'"127.0.0.1:0"',
            b'"127.0.0.1:99999"',
            b'"127.0.0.1:' + b'9' * 5_000 + b'"',
            b'"[::1]:80"',
            b'"host@127.0.0.1:80"',
            b'null',
        ]
    ),
    strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text(max_size=10),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.text(max_size=5), inner, max_size=3
            )
        ),
        max_leaves=8,
    ).map(msgspec.json.encode),
)


def places(document: Any) -> list[tuple[Any, ...]]:
    """Return the paths to all values of a document, itself included."""
    found: list[tuple[Any, ...]] = [()]
    children = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document if isinstance(document, list) else ())
    )
    for key, child in children:
        found += [(key, *path) for path in places(child)]
    return found


def with_replaced(document: Any, path: tuple[Any, ...], odd: bytes) -> bytes:
    """Return a document as JSON with the value at a path replaced."""
    if not path:
        return odd
    copy = msgspec.json.decode(msgspec.json.encode(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = 'REPLACED'
    return msgspec.json.encode(copy).replace(b'"REPLACED"', odd)


def odd_documents(document: dict[str, Any]) -> strategies.SearchStrategy:
    """Return documents with one odd value in some place, or an odd field."""
    extended = {**document, 'unknownField': 0}
    return strategies.builds(
        lambda path, odd: with_replaced(extended, path, odd),
        strategies.sampled_from(places(extended)),
        ODD_JSON,
    )


@settings(max_examples=300)
@given(
    odd_documents(ENTRY),
    strategies.sampled_from(['odd', 'o\r\nd', 'ö', '', 'x' * 200]),
)
def test_odd_entry_names_an_endpoint_that_can_be_called_or_none(
    value: bytes, key: str
) -> None:
    """Guards against an entry that ends the process or fails its requests."""
    listener = FakeListener()
    entries = EndpointRows(EndpointRegistry(listener), ColdTracker(), REGIONS)
    entries.replace(
        [row('servers', 'a', ENTRY, 1), row('servers', key, value, 2)], 0.0
    )
    assert 'a' in listener.endpoints
    for endpoint_id, endpoint in listener.endpoints.items():
        assert endpoint_id in {'a', 'odd', 'x' * 200}
        host, _, port = endpoint.address.rpartition(':')
        assert host.count('.') == 3
        assert 0 < int(port) < 65_536
        assert msgspec.msgpack.encode(endpoint)


@settings(max_examples=300)
@given(
    odd_documents(CONFIGURATION),
    strategies.sampled_from(['config', 'version/m']),
)
def test_odd_operator_row_keeps_the_configuration_in_force(
    value: bytes, key: str
) -> None:
    """Guards against an operator's row that ends every process."""
    rows = operator_rows(VirtualClock())
    rows.apply([row('op', 'config', CONFIGURATION, 1)], 0.0)
    rows.apply([row('op', key, value, 2)], 0.0)
    assert rows.is_loaded
    changed = {**CONFIGURATION, 'version': rows.current().revision + 1}
    rows.apply([row('op', 'config', changed, 3)], 0.0)
    assert rows.current().revision == changed['version']


@settings(max_examples=300)
@given(odd_documents(JOB))
def test_odd_submission_is_refused_or_can_be_stored(body: bytes) -> None:
    """Guards against submissions that end with an internal error."""
    rows = operator_rows(VirtualClock())
    rows.apply([row('op', 'config', CONFIGURATION, 1)], 0.0)
    route = rows.current().routes[ids.RouteName('r')]
    try:
        job = _decode_job(body, ids.JobId('j'), 'h', route, None, 0.0)
    except RequestError as error:
        assert (error.status, error.not_run) == (400, True)
        return
    assert msgspec.msgpack.encode(job)
    for item in job.items:
        assert item.path.startswith('/')


@settings(max_examples=300)
@given(
    strategies.one_of(
        strategies.binary(max_size=100),
        strategies.integers(min_value=0, max_value=6_000).map(
            lambda size: b'id: ' + b'9' * size + b'\ndata: x'
        ),
        strategies.integers(min_value=0, max_value=6_000).map(
            lambda size: (
                b'x-weight-versions: ' + b'9' * size + b'\nid: 1\ndata: x'
            )
        ),
    )
)
def test_odd_events_fail_or_can_be_stored(block: bytes) -> None:
    """Guards against a version that no row of results can hold."""
    try:
        events = EventDecoder().feed(block + b'\n\n')
    except EndpointError:
        return
    for event in events:
        assert msgspec.msgpack.encode(event.event_id)
        assert msgspec.msgpack.encode(event.weight_version)


ODD_MSGPACK = strategies.one_of(
    strategies.binary(max_size=60),
    strategies.sampled_from(
        [b'\x91' * 3_000, b'\x81\xa5other' + b'\x91' * 3_000 + b'\x00', b'']
    ),
)


def directory() -> JobDirectory:
    return JobDirectory(lambda _job_id, _head: None)


def endpoint_versions() -> EndpointVersions:
    return EndpointVersions(
        EndpointRegistry(FakeListener()), MemoryRowStore(), LoadingEndpoints()
    )


@given(ODD_MSGPACK, strategies.sampled_from([directory, endpoint_versions]))
def test_odd_rows_of_processes_are_skipped(
    value: bytes, make_sink: Callable[[], JobDirectory | EndpointVersions]
) -> None:
    """Guards against a row that ends every process that follows a table."""
    sink = make_sink()
    odd = VersionedRow(RowKey('table', 'job', 'head'), value, 1)
    sink.apply([odd], 0.0)
    sink.replace([odd], 0.0)
