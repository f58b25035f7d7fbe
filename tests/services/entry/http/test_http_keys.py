"""The entry passes no caller's key on to an endpoint."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from urllib.parse import quote

import hypothesis
import pytest
from hypothesis import strategies as st

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.http.header_filter import request_headers
from dogwoodpost.services.entry.http.header_filter import response_headers

if TYPE_CHECKING:
    from aiohttp.test_utils import TestClient

    from dogwoodpost.ports.attempt_runner import AttemptEnd
    from tests.fakes.pipeline import FakeRunner

KEY = 'lab-secret-key'
KEY_BYTES = KEY.encode()
LAB = {'Authorization': f'Bearer {KEY}'}
HEADER_NAMES = st.sampled_from(
    ['Authorization', 'COOKIE', 'X-Api-Key', 'X-Note', 'Connection', 'TE', KEY]
)
HEADER_VALUES = st.sampled_from(
    [
        KEY,
        quote(KEY),
        ''.join(f'%{byte:02x}' for byte in KEY_BYTES),
        base64.b64encode(KEY_BYTES).decode(),
        base64.b64encode(b'user:' + KEY_BYTES).decode(),
        base64.urlsafe_b64encode(KEY_BYTES).decode().rstrip('='),
        'Bearer ' + KEY,
        'k=' + KEY + ';x',
        'X-Note',
        'plain',
    ]
)


@hypothesis.given(
    st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=6),
    st.sampled_from(list(ServiceKind)),
)
def test_no_header_contains_the_key(
    headers: list[tuple[str, str]], kind: ServiceKind
) -> None:
    """Guards against keys in any header and in any common encoding."""
    passed = request_headers(headers, KEY, kind)
    harmless_values = {'plain', 'X-Note'}
    for name, value in passed:
        assert value in harmless_values
        assert name in {'X-Api-Key', 'X-Note'}
    if not any(name == 'Connection' for name, _ in headers):
        expected = [
            (name, value)
            for name, value in headers
            if value in harmless_values and name in {'X-Api-Key', 'X-Note'}
        ]
        assert list(passed) == expected


async def test_plain_request_passes_through(
    client: TestClient, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against keys passed to endpoints and lost parts of a request."""
    head = AttemptHead(
        418,
        (
            ('Set-Cookie', 'a=1'),
            ('Set-Cookie', 'b=2'),
            ('X-Answer', 'yes'),
            ('Connection', 'X-Hop'),
            ('X-Hop', '1'),
            ('Transfer-Encoding', 'chunked'),
        ),
    )
    runner.default = [head, AttemptData(b'\x00tea'), completed]
    url = client.make_url('').with_path('/quarry/a%2Fb', encoded=True)
    response = await client.session.request(
        'PATCH',
        url.with_query(q=' x'),
        headers={
            **LAB,
            'Cookie': f'session={KEY}',
            'X-Key': KEY,
            'X-Kept': 'kept',
            'Connection': 'X-Dropped',
            'X-Dropped': '1',
            'Content-Encoding': 'gzip',
        },
        data=b'\x1f\x8bnot really',
    )
    assert response.status == 418
    assert await response.read() == b'\x00tea'
    assert response.headers.getall('Set-Cookie') == ['a=1', 'b=2']
    assert response.headers['X-Answer'] == 'yes'
    assert 'X-Hop' not in response.headers
    spec = runner.specs[0]
    assert (spec.method, spec.path) == ('PATCH', '/quarry/a%2Fb?q=+x')
    assert spec.body == b'\x1f\x8bnot really'
    names = {name.lower() for name, _ in spec.headers}
    assert ('X-Kept', 'kept') in spec.headers
    assert ('Content-Encoding', 'gzip') in spec.headers
    assert names.isdisjoint(
        {'authorization', 'cookie', 'x-key', 'x-dropped', 'connection', 'host'}
    )
    assert KEY not in repr(spec)


@pytest.mark.parametrize(
    'authorization', ['Basic eA==', 'Bearer unknown', f'Bearer {KEY}']
)
async def test_open_route_ignores_the_header(
    client: TestClient, runner: FakeRunner, authorization: str
) -> None:
    """Guards against routes open to all that refuse, bill or pass on a key."""
    headers = {'Authorization': authorization, 'X-Copy': authorization}
    response = await client.get('/public', headers=headers)
    assert response.status == 200
    spec = runner.specs[0]
    assert spec.client_account_id is None
    assert 'Authorization' not in dict(spec.headers)
    if authorization.startswith('Bearer'):
        assert 'X-Copy' not in dict(spec.headers)


@pytest.mark.parametrize('method', ['HEAD', 'GET'])
async def test_responses_without_a_body(
    client: TestClient,
    runner: FakeRunner,
    completed: AttemptEnd,
    method: str,
) -> None:
    """Guards against responses whose end the caller cannot detect."""
    status = 200 if method == 'HEAD' else 204
    headers = (('Content-Length', '12'),) if method == 'HEAD' else ()
    runner.default = [AttemptHead(status, headers), completed]
    for _ in range(2):
        response = await client.request(method, '/quarry', headers=LAB)
        assert response.status == status
        assert await response.read() == b''
        if method == 'HEAD':
            assert response.headers['Content-Length'] == '12'


def test_hop_by_hop_response_headers_are_dropped() -> None:
    """Guards against headers that only apply to the endpoint's connection."""
    passed = response_headers(
        [('Connection', 'a, B'), ('b', '1'), ('Keep-Alive', '9'), ('c', '2')]
    )
    assert passed == (('c', '2'),)
