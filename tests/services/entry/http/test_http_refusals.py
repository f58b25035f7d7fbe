"""Requests that the entry's HTTP interface refuses."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.http.used_request_ids import UsedRequestIds

if TYPE_CHECKING:
    from aiohttp.test_utils import TestClient
    from conftest import FakeConfiguration

    from dogwoodpost.observability import Metrics
    from tests.fakes.pipeline import FakeRunner

LAB = {'Authorization': 'Bearer lab-secret-key'}
ENGINE = '/v1/completions'
CHAT = '/v1/chat/completions'
VALID = {'model': 'slate-lm', 'prompt': 'p'}


def key_header(name: str) -> dict[str, str]:
    return {'Authorization': f'Bearer {name}-secret-key'}


def lab_headers(name: str, value: str) -> dict[str, str]:
    return {**LAB, f'Dogwoodpost-{name}': value}


REFUSALS = [
    # method, path, headers, body, status, code
    ('POST', ENGINE, {}, VALID, 401, 'missing_key'),
    (
        'POST',
        ENGINE,
        {'Authorization': 'Basic x'},
        VALID,
        401,
        'malformed_key',
    ),
    ('POST', ENGINE, {'Authorization': 'Bearer'}, VALID, 401, 'malformed_key'),
    ('POST', ENGINE, key_header('nobody'), VALID, 401, 'unknown_key'),
    ('POST', ENGINE, key_header('old'), VALID, 401, 'key_revoked'),
    ('POST', ENGINE, key_header('off'), VALID, 403, 'client_account_disabled'),
    ('POST', ENGINE, key_header('guest'), VALID, 403, 'route_forbidden'),
    ('POST', ENGINE, LAB, {**VALID, 'model': 'x'}, 404, 'unknown_model'),
    ('POST', '/nowhere', LAB, VALID, 404, 'unknown_route'),
    ('POST', '/quarryman', LAB, VALID, 404, 'unknown_route'),
    ('POST', '/v1/control/cancel', LAB, VALID, 404, 'unknown_route'),
    ('GET', '/quarry/%2e%2e/x', LAB, '', 400, 'bad_path'),
    ('GET', '/quarry/a%2f..%2fx', LAB, '', 400, 'bad_path'),
    ('GET', ENGINE, LAB, '', 405, 'method_not_allowed'),
    ('POST', ENGINE, LAB, '{"model":', 400, 'malformed_request'),
    ('POST', ENGINE, LAB, '[' * 5_000, 400, 'malformed_request'),
    ('POST', ENGINE, LAB, '[]', 400, 'malformed_request'),
    ('POST', ENGINE, LAB, {'model': 'slate-lm'}, 400, 'malformed_request'),
    ('POST', ENGINE, LAB, {'prompt': 'p'}, 400, 'malformed_request'),
    ('POST', ENGINE, LAB, {**VALID, 'stream': 1}, 400, 'malformed_request'),
    (
        'POST',
        ENGINE,
        LAB,
        {**VALID, 'max_tokens': 0},
        400,
        'malformed_request',
    ),
    ('POST', ENGINE, LAB, {**VALID, 'n': True}, 400, 'malformed_request'),
    ('POST', CHAT, LAB, VALID, 400, 'malformed_request'),
    ('POST', CHAT, LAB, {**VALID, 'messages': [1]}, 400, 'malformed_request'),
    ('POST', ENGINE, LAB, 'x' * 9_000, 413, 'body_too_large'),
    ('POST', '/quarry', LAB, 'x' * 1_001, 413, 'body_too_large'),
    (
        'GET',
        '/quarry',
        {**LAB, 'X': 'x' * 4_050},
        '',
        431,
        'headers_too_large',
    ),
    ('GET', '/quarry', lab_headers('Idempotent', 'no'), '', 400, 'bad_header'),
    ('GET', '/quarry', lab_headers('Timeout-Ms', '-1'), '', 400, 'bad_header'),
    (
        'GET',
        '/quarry',
        lab_headers('Request-Id', 'a b'),
        '',
        400,
        'bad_header',
    ),
    ('GET', '/quarry?k=lab-secret-key', LAB, '', 400, 'key_in_request'),
    ('POST', '/quarry', LAB, 'k=lab-secret-key', 400, 'key_in_request'),
    (
        'POST',
        ENGINE,
        LAB,
        '{"model":"slate-lm","prompt":"lab-secret-k\\u0065y"}',
        400,
        'key_in_request',
    ),
]


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'body', 'status', 'code'), REFUSALS
)
async def test_refusals(
    client: TestClient,
    runner: FakeRunner,
    metrics: Metrics,
    method: str,
    path: str,
    headers: dict[str, str],
    body: object,
    status: int,
    code: str,
) -> None:
    """Guards against bad input that reaches an agent or has no typed error."""
    data = body if isinstance(body, str) else json.dumps(body)
    url = client.make_url('').with_path(path.partition('?')[0], encoded=True)
    url = url.with_query(path.partition('?')[2])
    response = await client.session.request(
        method, url, headers=headers, data=data
    )
    assert response.status == status
    error = (await response.json())['error']
    assert (error['code'], error['not_run']) == (code, True)
    assert 'secret-key' not in await response.text()
    assert runner.specs == []
    counter = metrics.refusals.labels(code)
    assert counter._value.get() == 1


async def test_chunked_body_is_bounded(client: TestClient) -> None:
    """Guards against unlimited memory use by bodies without a length."""

    async def endless() -> object:
        while True:
            yield b'x' * 500

    response = await client.post('/quarry', headers=LAB, data=endless())
    assert response.status == 413
    assert response.headers['Connection'] == 'close'


async def test_slow_sender_is_refused(client: TestClient) -> None:
    """Guards against connections held open by unfinished bodies."""
    reader, writer = await asyncio.open_connection(client.host, client.port)
    writer.write(
        b'POST /quarry HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n'
        b'Authorization: Bearer lab-secret-key\r\n\r\nabc'
    )
    text = await reader.read()
    assert b' 408 ' in text
    assert b'body_timeout' in text
    writer.close()


async def test_unreadable_head_is_refused(client: TestClient) -> None:
    """Guards against a crash on a request head that is not HTTP."""
    reader, writer = await asyncio.open_connection(client.host, client.port)
    writer.write(b'nonsense\r\n\r\n')
    assert b' 400 ' in await reader.read()
    writer.close()


async def test_stale_configuration(
    client: TestClient, configuration: FakeConfiguration
) -> None:
    """Guards against routes with keys that serve on a stale configuration."""
    configuration.fresh = False
    response = await client.get('/quarry', headers=LAB)
    assert response.status == 503
    assert (await response.json())['error']['code'] == 'configuration_stale'
    assert response.headers['Retry-After'] == '1'
    assert (await client.get('/public')).status == 200


async def test_repeated_request_id(
    client: TestClient, runner: FakeRunner
) -> None:
    """Guards against a second run of a request under the same id."""
    headers = lab_headers('Request-Id', 'booking-7')
    first = await client.post('/quarry', headers=headers)
    assert first.headers['Dogwoodpost-Request-Id'] == 'booking-7'
    second = await client.post('/quarry', headers=headers)
    assert second.status == 409
    error = (await second.json())['error']
    assert error['code'] == 'duplicate_request_id'
    assert error['not_run'] is False
    shop = {**headers, **key_header('shop')}
    assert (await client.post('/quarry', headers=shop)).status == 200
    assert len(runner.specs) == 2


def test_request_ids_are_bounded_and_never_forgotten_early() -> None:
    """Guards against an id that is forgotten early to store another one."""
    used_ids = UsedRequestIds(max_count_per_account=2, max_total_count=3)
    for account, name in (('a', '1'), ('a', '2'), ('b', '3')):
        used_ids.remember(account, name, 1.0, 0.0)
    for account, name, code in (
        ('a', '1', 'duplicate_request_id'),
        ('a', '4', 'request_ids_full'),
        ('c', '4', 'request_ids_full'),
    ):
        with pytest.raises(RequestError) as caught:
            used_ids.remember(account, name, 1.0, 299.0)
        assert caught.value.code == code
    used_ids.forget('a', '2')
    used_ids.remember('c', '4', 1.0, 299.0)
    used_ids.remember('c', '5', 1.0, 301.0)
