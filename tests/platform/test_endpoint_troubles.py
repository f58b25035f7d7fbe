"""Responses of endpoints that are late, broken off or have no end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from multidict import CIMultiDict

from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import MODEL
from tests.platform.raw_endpoint import CHUNK
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.platform.platform_site import Site
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

MIB = 1024 * 1024
# What one process may use at the target size, for everything.
MEMORY_LIMIT_BYTES = 128 * MIB


@pytest.mark.parametrize('names_request', [True, False])
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
async def test_second_copy_of_a_response_reaches_no_other_caller(
    site: Site, names_request: bool, delay_s: float
) -> None:
    """Guards against responses that answer the request before.

    A second copy comes late, on a connection that is in use again, with the
    id of its request or without any.
    """

    async def answer(request: RawRequest, response: RawResponse) -> None:
        await response.whole(request.request_id.encode())
        await asyncio.sleep(delay_s)
        name = 'X-Request-Id' if names_request else 'X-Other'
        await response.write(
            f'HTTP/1.1 200 OK\r\n{name}: {request.request_id}\r\n'
            f'X-Response-Signature: signed-{request.request_id}\r\n'
            f'Content-Length: {len(request.request_id)}\r\n\r\n'
            f'{request.request_id}'.encode()
        )

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        for number in range(6):
            request_id = f'request-{number}'
            status, headers, body = await site.send(
                node, '/safe/a', request_id=request_id
            )
            assert (status, body) == (200, request_id.encode())
            assert CIMultiDict(headers)['X-Request-Id'] == request_id
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('path', ['/safe/a', '/unsafe/a'])
@pytest.mark.parametrize(
    'fields', [('Content-Length: 100',), (), ('Transfer-Encoding: chunked',)]
)
async def test_response_that_breaks_off_is_no_success(
    site: Site, path: str, fields: tuple[str, ...]
) -> None:
    """Guards against the beginning of a response that passes for all of it."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.head(*fields)
        chunked = fields and 'chunked' in fields[0]
        await response.write(b'4\r\nhalf\r\n' if chunked else b'half')
        await asyncio.sleep(0.05)
        response.reset()

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        with pytest.raises(aiohttp.ClientError):
            status, _, _ = await site.send(node, path)
            assert status >= 500
            raise aiohttp.ClientError('the failure came as a status')


async def test_response_that_ends_with_its_connection_is_whole(
    site: Site,
) -> None:
    """Guards against sound responses without a length that are refused."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.head()
        await response.write(b'all of it')
        response.close()

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        status, _, body = await site.send(node, '/safe/a')
    assert (status, body) == (200, b'all of it')


async def _endless_field(_: RawRequest, response: RawResponse) -> None:
    await response.write(b'HTTP/1.1 200 OK\r\nX-Endless: ')
    await response.repeat(CHUNK)


async def _endless_fields(_: RawRequest, response: RawResponse) -> None:
    await response.write(b'HTTP/1.1 200 OK\r\n')
    await response.repeat(b'X-Endless: yes\r\n' * 1_000)


async def _endless_interim(_: RawRequest, response: RawResponse) -> None:
    await response.repeat(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1_000)


async def _endless_body(_: RawRequest, response: RawResponse) -> None:
    await response.head()
    await response.repeat(CHUNK)


async def _endless_chunks(_: RawRequest, response: RawResponse) -> None:
    await response.head('Transfer-Encoding: chunked')
    await response.repeat(b'10000\r\n' + CHUNK + b'\r\n')


async def _endless_chunk_head(_: RawRequest, response: RawResponse) -> None:
    await response.head('Transfer-Encoding: chunked')
    await response.repeat(b'0' * 65_536)


async def _no_http(_: RawRequest, response: RawResponse) -> None:
    await response.repeat(CHUNK)


@pytest.mark.parametrize(
    'answer',
    [
        _endless_field,
        _endless_fields,
        _endless_interim,
        _endless_body,
        _endless_chunks,
        _endless_chunk_head,
        _no_http,
    ],
)
async def test_bytes_without_end_cost_bounded_memory(
    site: Site, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
) -> None:
    """Guards against an endpoint whose bytes fill a process's memory.

    Others are served meanwhile.
    """
    async with raw_endpoint(answer) as endpoint, site.spawned('node') as node:
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        calls = [
            asyncio.create_task(_status_of(site, node, '/safe/a'))
            for _ in range(24)
        ]
        await asyncio.sleep(0.5)
        async with asyncio.timeout(2.0):
            stream = await site.send(
                node, '/stream/a', headers={'X-Model': MODEL}
            )
        assert stream[2].count(b'data: ') == EVENT_COUNT
        async with asyncio.timeout(6.0):
            statuses = await asyncio.gather(*calls)
        assert 200 not in statuses
        assert _peak_memory_bytes(node.process.pid) < MEMORY_LIMIT_BYTES


async def _status_of(site: Site, node: object, path: str) -> int:
    """Return a status, 0 for a connection that breaks off."""
    try:
        status, _, _ = await site.send(node, path)
    except aiohttp.ClientError:
        return 0
    return status


def _peak_memory_bytes(pid: int) -> int:
    with open(f'/proc/{pid}/status') as status:
        for line in status:
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
    raise AssertionError('the process has no memory figure')


_FIRST_EVENT = b'id: 0\ndata: piece 0\n\n'


async def _events_endless(_: RawRequest, response: RawResponse) -> None:
    await response.head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    for number in range(10**9):
        await response.write(
            f'id: {number}\ndata: piece {number}\n\n'.encode()
        )


async def _event_endless(_: RawRequest, response: RawResponse) -> None:
    await response.head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT + b'id: 1\ndata: ')
    await response.repeat(CHUNK)


async def _comments_endless(_: RawRequest, response: RawResponse) -> None:
    await response.head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT)
    await response.repeat(b': still here\n\n' * 1_000)


async def _event_trickles(_: RawRequest, response: RawResponse) -> None:
    await response.head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT + b'id: 1\ndata: ')
    while True:
        await response.write(b'x')
        await asyncio.sleep(0.2)


@pytest.mark.parametrize(
    'answer',
    [_events_endless, _event_endless, _comments_endless, _event_trickles],
)
async def test_stream_without_end_keeps_no_item(
    site: Site, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
) -> None:
    """Guards against items that stay at a stream that never ends.

    One engine of two sends such streams; the items complete at the other.
    """
    async with raw_endpoint(answer) as endpoint, site.spawned('node') as node:
        site.move(site.engines[0], 'engines', endpoint.address)
        await asyncio.sleep(0.5)
        assert await site.submit(node, site.job(item_count=8), 'job-1') == 202
        results = await site.results(node, 'job-1', 8, timeout_s=12.0)
        assert {one['state'] for one in results} == {'completed'}
        assert {one['text'].count('piece') for one in results} == {EVENT_COUNT}
        assert _peak_memory_bytes(node.process.pid) < MEMORY_LIMIT_BYTES


async def test_slow_but_sound_streams_are_not_cut(site: Site) -> None:
    """Guards against streams whose events come far apart and never end up."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.head(
            'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
        )
        for number in range(3):
            await asyncio.sleep(2.2)
            await response.write(
                f'id: {number}\ndata: piece {number}\n\n'.encode()
            )
        response.close()

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        for engine in site.engines:
            site.move(engine, 'engines', endpoint.address)
        await asyncio.sleep(0.5)
        assert await site.submit(node, site.job(item_count=2), 'job-1') == 202
        results = await site.results(node, 'job-1', 2, timeout_s=19.0)
    assert {one['text'] for one in results} == {'piece 0\npiece 1\npiece 2'}


async def test_new_connections_are_counted_by_cause(site: Site) -> None:
    """Guards against connections that nobody can explain afterwards."""
    async with site.node('node-1') as node:
        for _ in range(3):
            await site.send(node, '/safe/a')
        await site.send(node, '/unsafe/a')
        async with site.session.get(f'{node.ready}/metrics') as response:
            lines = (await response.text()).splitlines()
    counts = [line for line in lines if 'endpoint_connection_' in line]
    assert any('first_use' in line for line in counts)
    assert any(
        'not_shared' in line and line.endswith(' 1.0') for line in counts
    )
    assert not any('none_free' in line for line in counts)


async def test_repeat_of_a_kept_id_gets_no_late_copy(site: Site) -> None:
    """Guards against a late copy for an id that comes again later.

    Groups that were not complete come again in a later job, under the same
    ids.
    """
    copied: set[int] = set()

    async def answer(request: RawRequest, response: RawResponse) -> None:
        body = f'run {request.total_number}'.encode()
        await response.whole(body)
        if request.number == 1:
            copied.add(request.total_number)
            await asyncio.sleep(0.3)
            await response.whole(body)

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        for number in range(1, 4):
            status, _, body = await site.send(
                node, '/safe/a', request_id='the-same'
            )
            assert (status, body) == (200, f'run {number}'.encode())
            await asyncio.sleep(0.29)
    assert copied
