"""Responses of endpoints that are late, truncated or endless."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
import structlog.testing
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
# Limit on the whole memory of one process at the target size.
MEMORY_LIMIT_BYTES = 128 * MIB
# A process has 45 MiB without load; a report may use one MiB.
REPORT_MEMORY_BYTES = 80 * 1024 * 1024


@pytest.mark.parametrize('names_request', [True, False])
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
async def test_duplicate_response_reaches_no_other_caller(
    site: Site, names_request: bool, delay_s: float
) -> None:
    """Guards against callers that get the response to an earlier request.

    A duplicate of a response arrives late, on a connection that is already in
    use again, with the id of its request or without an id.
    """

    async def answer(request: RawRequest, response: RawResponse) -> None:
        await response.write_response(request.request_id.encode())
        await asyncio.sleep(delay_s)
        header = 'X-Request-Id' if names_request else 'X-Other'
        await response.write(
            f'HTTP/1.1 200 OK\r\n{header}: {request.request_id}\r\n'
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
async def test_truncated_response_is_no_success(
    site: Site, path: str, fields: tuple[str, ...]
) -> None:
    """Guards against a truncated response that counts as complete."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.write_head(*fields)
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
            raise aiohttp.ClientError('the failure was reported as a status')


async def test_response_that_ends_with_its_connection_is_complete(
    site: Site,
) -> None:
    """Guards against complete responses without a length that are refused."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.write_head()
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
    await response.write_endlessly(CHUNK)


async def _endless_fields(_: RawRequest, response: RawResponse) -> None:
    await response.write(b'HTTP/1.1 200 OK\r\n')
    await response.write_endlessly(b'X-Endless: yes\r\n' * 1_000)


async def _endless_interim(_: RawRequest, response: RawResponse) -> None:
    await response.write_endlessly(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1_000)


async def _endless_body(_: RawRequest, response: RawResponse) -> None:
    await response.write_head()
    await response.write_endlessly(CHUNK)


async def _endless_chunks(_: RawRequest, response: RawResponse) -> None:
    await response.write_head('Transfer-Encoding: chunked')
    await response.write_endlessly(b'10000\r\n' + CHUNK + b'\r\n')


async def _endless_chunk_head(_: RawRequest, response: RawResponse) -> None:
    await response.write_head('Transfer-Encoding: chunked')
    await response.write_endlessly(b'0' * 65_536)


async def _not_http(_: RawRequest, response: RawResponse) -> None:
    await response.write_endlessly(CHUNK)


async def _endless_unframed(_: RawRequest, response: RawResponse) -> None:
    await response.write_head()
    await response.write_endlessly(CHUNK)


@pytest.mark.parametrize(
    'answer',
    [
        _endless_field,
        _endless_fields,
        _endless_interim,
        _endless_body,
        _endless_chunks,
        _endless_chunk_head,
        _not_http,
    ],
)
async def test_endless_response_uses_bounded_memory(
    site: Site, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
) -> None:
    """Guards against an endpoint that fills a process's memory.

    Calls to other endpoints must succeed meanwhile.
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


@pytest.mark.parametrize(
    'answer', [_endless_body, _endless_chunks, _endless_unframed]
)
async def test_endless_engine_report_uses_bounded_memory(
    site: Site, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
) -> None:
    """Guards against a report that fills a process's memory.

    Several engines send one, and the process asks for them all the time.
    """
    async with raw_endpoint(answer) as endpoint, site.spawned('node') as node:
        for engine in site.engines:
            site.move(engine, 'engines', endpoint.address)
        site.name_version(2)
        await asyncio.sleep(4.0)
        assert endpoint.request_count > 2
        assert _peak_memory_bytes(node.process.pid) < REPORT_MEMORY_BYTES
        assert (await site.send(node, '/safe/a'))[0] == 200


async def test_error_does_not_quote_what_an_endpoint_sent(site: Site) -> None:
    """Guards against errors that pass an endpoint's bytes on to a caller."""

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write(b'secret ' * 2_000 + b'\r\n\r\n')

    async with raw_endpoint(answer) as endpoint, site.node('node') as node:
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        with structlog.testing.capture_logs() as logs:
            status, _, body = await site.send(node, '/unsafe/a')
    assert status == 502
    assert b'secret' not in body
    assert len(body) < 1_000
    assert 'secret' not in str(logs)


async def _status_of(site: Site, node: object, path: str) -> int:
    """Return the status of a call, 0 if its connection fails."""
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


async def _endless_events(_: RawRequest, response: RawResponse) -> None:
    await response.write_head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    for number in range(10**9):
        await response.write(
            f'id: {number}\ndata: piece {number}\n\n'.encode()
        )


async def _endless_event(_: RawRequest, response: RawResponse) -> None:
    await response.write_head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT + b'id: 1\ndata: ')
    await response.write_endlessly(CHUNK)


async def _endless_comments(_: RawRequest, response: RawResponse) -> None:
    await response.write_head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT)
    await response.write_endlessly(b': still here\n\n' * 1_000)


async def _slow_event(_: RawRequest, response: RawResponse) -> None:
    await response.write_head(
        'Content-Type: text/event-stream', 'X-Weight-Versions: 1'
    )
    await response.write(_FIRST_EVENT + b'id: 1\ndata: ')
    while True:
        await response.write(b'x')
        await asyncio.sleep(0.2)


@pytest.mark.parametrize(
    'answer',
    [_endless_events, _endless_event, _endless_comments, _slow_event],
)
async def test_items_leave_an_endpoint_whose_stream_never_ends(
    site: Site, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
) -> None:
    """Guards against items that wait for ever for the end of a stream.

    One engine of two sends endless streams; the items complete at the other.
    """
    async with raw_endpoint(answer) as endpoint, site.spawned('node') as node:
        site.move(site.engines[0], 'engines', endpoint.address)
        await asyncio.sleep(0.5)
        assert await site.submit(node, site.job(item_count=8), 'job-1') == 202
        results = await site.results(node, 'job-1', 8, timeout_s=12.0)
        assert {result['state'] for result in results} == {'completed'}
        assert {result['text'].count('piece') for result in results} == {
            EVENT_COUNT
        }
        assert _peak_memory_bytes(node.process.pid) < MEMORY_LIMIT_BYTES


async def test_slow_stream_is_not_cut(site: Site) -> None:
    """Guards against slow streams that are always cut and never complete."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await response.write_head(
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
    assert {result['text'] for result in results} == {
        'piece 0\npiece 1\npiece 2'
    }


async def test_new_connections_are_counted_by_cause(site: Site) -> None:
    """Guards against new connections whose cause no metric shows."""
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


async def test_repeated_id_gets_no_late_duplicate(site: Site) -> None:
    """Guards against a late duplicate for a request whose id is used again.

    Groups that were not complete are submitted again in a later job, with the
    same ids.
    """
    duplicated: set[int] = set()

    async def answer(request: RawRequest, response: RawResponse) -> None:
        body = f'run {request.total_number}'.encode()
        await response.write_response(body)
        if request.number == 1:
            duplicated.add(request.total_number)
            await asyncio.sleep(0.3)
            await response.write_response(body)

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
    assert duplicated
