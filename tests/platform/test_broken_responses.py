"""Responses that break off never look whole to a client."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from tests.platform.platform_site import EVENT_COUNT
from tests.platform.raw_client import raw_call
from tests.platform.raw_endpoint import chunk
from tests.platform.raw_endpoint import CHUNKED
from tests.platform.raw_endpoint import EMPTY_CHUNK
from tests.platform.raw_endpoint import event
from tests.platform.raw_endpoint import raw_endpoint
from tests.platform.raw_endpoint import STREAM_FIELDS

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.platform.platform_site import Site
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

    Answer = Callable[[RawRequest, RawResponse], Awaitable[None]]

PLAIN_FIELDS = ('Content-Type: text/plain',)
BIG_BYTES = 4 * 1024 * 1024


def broken(fields: tuple[str, ...], body: bytes, *, resets: bool) -> Answer:
    """Return an endpoint's response that breaks off after a part."""

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head(*fields)
        await response.write(body)
        await asyncio.sleep(0.05)
        if resets:
            response.reset()
        else:
            response.close()

    return answer


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('path', ['/unsafe/a', '/stream/a', '/resumable/a'])
@pytest.mark.parametrize('resets', [False, True])
@pytest.mark.parametrize('read_delay_s', [0.0, 0.6])
async def test_response_that_breaks_off_does_not_look_whole(
    site: Site, version: str, path: str, resets: bool, read_delay_s: float
) -> None:
    """Guards against parts of a response that a client takes for all of it.

    A client of HTTP/1.0 saw an ordinary close, which ends a body without a
    length.
    """
    fields = PLAIN_FIELDS if 'unsafe' in path else STREAM_FIELDS
    parts = [b'', chunk(event(0)), chunk(event(0)) + b'8\r\nid']
    endpoints = [site.plain] if 'unsafe' in path else site.engines
    service = 'plain' if 'unsafe' in path else 'engines'
    async with site.node('node-1') as node:
        for part in parts:
            answer = broken((*fields, CHUNKED), part, resets=resets)
            async with raw_endpoint(answer) as endpoint:
                for one in endpoints:
                    site.move(one, service, endpoint.address)
                await asyncio.sleep(0.3)
                received = await raw_call(
                    node, path, version=version, read_delay_s=read_delay_s
                )
            assert endpoint.request_count
            assert received.status in {0, 200, 502}
            if received.status == 200:
                assert not received.looks_whole


# Parts of streams that end in the middle of an event, or without any.
BROKEN_PARTS = [
    b'',
    b': comment\n\n',
    event(0)[:6],
    event(0)[:-1],
    event(0) + event(1)[:-3],
    event(0) + b': comm',
]
WHOLE_STREAM = b''.join(event(number) for number in range(EVENT_COUNT))
LONG_EVENT = b'id: 0\ndata: ' + b'x' * 100_000 + b'\n\n'
WHOLE_STREAMS = [
    WHOLE_STREAM,
    WHOLE_STREAM.replace(b'\n', b'\r\n'),
    WHOLE_STREAM.replace(b'\n', b'\r'),
    b': comment\n\n' + WHOLE_STREAM + b': comment\n',
    LONG_EVENT,
]


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('path', ['/stream/a', '/resumable/a', '/safe/a'])
async def test_stream_without_a_length_ends_only_after_an_event(
    site: Site, version: str, path: str
) -> None:
    """Guards against streams of a crashed endpoint that look whole.

    The kernel closes the connections of a process that has crashed, and the
    end of its connection is the end of a stream without a length.
    """
    async with site.node('node-1') as node:
        for part in BROKEN_PARTS:
            answer = broken(STREAM_FIELDS, part, resets=False)
            async with raw_endpoint(answer) as endpoint:
                move_all(site, endpoint.address)
                await asyncio.sleep(0.3)
                received = await raw_call(node, path, version=version)
            assert endpoint.request_count
            if 'stream' in path:
                # It may have run, so it must not be sent again.
                assert endpoint.request_count == 1
            assert received.status in {0, 200, 502}
            if received.status == 200:
                assert not received.looks_whole


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('path', ['/stream/a', '/resumable/a'])
async def test_whole_stream_without_a_length_reaches_the_client(
    site: Site, version: str, path: str
) -> None:
    """Guards against sound streams that are taken for broken ones."""

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head(*STREAM_FIELDS)
        # An odd size, so that line ends are cut as well.
        for start in range(0, len(stream), 1_001):
            await response.write(stream[start : start + 1_001])
        response.close()

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        move_all(site, endpoint.address)
        await asyncio.sleep(0.5)
        for number, stream in enumerate(WHOLE_STREAMS, 1):
            received = await raw_call(node, path, version=version)
            assert received.looks_whole
            assert received.content == stream
            assert endpoint.request_count == number


@pytest.mark.parametrize(
    ('fields', 'body'),
    [
        ((*STREAM_FIELDS, CHUNKED), EMPTY_CHUNK),
        ((*STREAM_FIELDS, CHUNKED), chunk(b'data: a') + EMPTY_CHUNK),
        ((*STREAM_FIELDS, 'Content-Length: 7'), b'data: a'),
        (PLAIN_FIELDS, b'data: a'),
    ],
)
async def test_end_that_the_endpoint_marks_is_passed_on(
    site: Site, fields: tuple[str, ...], body: bytes
) -> None:
    """Guards against rejecting a response that HTTP marks as whole."""
    async with (
        raw_endpoint(broken(fields, body, resets=False)) as endpoint,
        site.node('node-1') as node,
    ):
        move_all(site, endpoint.address)
        await asyncio.sleep(0.5)
        received = await raw_call(node, '/stream/a', version='1.1')
    assert (received.status, received.looks_whole) == (200, True)
    assert received.content == (b'' if body == EMPTY_CHUNK else b'data: a')


async def test_client_may_resume_after_the_last_event(site: Site) -> None:
    """Guards against rejecting the honest end of a client's continuation.

    The endpoint has nothing left to send, so it names no weight version.
    """
    heads = [STREAM_FIELDS, STREAM_FIELDS[:1]]

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head(*fields)
        response.close()

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        move_all(site, endpoint.address)
        await asyncio.sleep(0.5)
        for fields in heads:
            received = await raw_call(
                node,
                '/resumable/a',
                version='1.1',
                fields=(f'Last-Event-Id: {EVENT_COUNT - 1}',),
            )
            is_honest_end = fields is heads[1]
            assert (
                received.status == 200 and received.looks_whole
            ) is is_honest_end
            assert received.content == b''


def move_all(site: Site, address: str) -> None:
    """Let all endpoints of the site have the same address."""
    for engine in site.engines:
        site.move(engine, 'engines', address)
    site.move(site.plain, 'plain', address)


async def test_length_of_a_response_is_passed_on(site: Site) -> None:
    """Guards against a response that loses its length on the way.

    Without it, a client of HTTP/1.0 can't tell how much is missing.
    """

    methods = ['POST'] * 4 + ['HEAD']

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head('Content-Length: 8')
        if methods.pop(0) == 'POST':
            await response.write(b'all of i')

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        for path in ('/safe/a', '/unsafe/a'):
            for version in ('1.0', '1.1'):
                received = await raw_call(node, path, version=version)
                assert received.headers['content-length'] == '8'
                assert received.body == b'all of i'
        head = await raw_call(node, '/safe/a', method='HEAD')
        assert (head.headers['content-length'], head.body) == ('8', b'')


@pytest.mark.parametrize('read_delay_s', [0.0, 1.0])
@pytest.mark.parametrize('path', ['/safe/a', '/unsafe/a', '/stream/a'])
async def test_whole_response_reaches_a_client_of_http_1_0(
    site: Site, path: str, read_delay_s: float
) -> None:
    """Guards against resets that discard the end of a sound response."""
    body = b'x' * BIG_BYTES

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_head(CHUNKED)
        await response.write(chunk(body) + chunk(b''))

    async with (
        raw_endpoint(answer) as endpoint,
        site.node('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        received = await raw_call(node, path, read_delay_s=read_delay_s)
    assert received.looks_whole
    if 'stream' in path:
        assert received.body.count(b'data: ') == EVENT_COUNT
    else:
        assert received.body == body


async def test_killed_process_leaves_no_whole_response(site: Site) -> None:
    """Guards against a stream that looks whole when its process is killed."""
    for engine in site.engines:
        engine.event_gap_s = 0.5
    async with site.spawned('node-1') as node:
        call = asyncio.create_task(raw_call(node, '/stream/a'))
        await asyncio.sleep(0.9)
        node.process.kill()
        received = await call
    assert received.status == 200
    assert not received.looks_whole


FOREIGN = b'upstream failure'
# Fields and body of responses that continue no stream.
OTHER_RESPONSES = {
    'no_content': ('204 No Content', (), b''),
    'empty': ('200 OK', ('Content-Length: 0',), b''),
    'empty_stream_of_a_length': (
        '200 OK',
        ('Content-Type: text/event-stream', 'Content-Length: 0'),
        b'',
    ),
    'stream_without_its_events': (
        '200 OK',
        (*STREAM_FIELDS, CHUNKED),
        EMPTY_CHUNK,
    ),
    'partial_content': (
        '206 Partial Content',
        (*STREAM_FIELDS, CHUNKED),
        chunk(event(2)) + EMPTY_CHUNK,
    ),
    'other_type': (
        '200 OK',
        ('Content-Type: text/plain', 'Content-Length: 16'),
        FOREIGN,
    ),
    'no_ids': (
        '200 OK',
        (*STREAM_FIELDS, CHUNKED),
        chunk(b'data: ' + FOREIGN + b'\n\n') + EMPTY_CHUNK,
    ),
    'no_event': (
        '200 OK',
        (*STREAM_FIELDS, CHUNKED),
        chunk(FOREIGN + b'\n\n') + EMPTY_CHUNK,
    ),
    'error': ('500 Failed', ('Content-Length: 16',), FOREIGN),
}


class InterruptedStreams:
    """Breaks each stream off, answers otherwise, then continues it."""

    def __init__(self, status: str, fields: tuple[str, ...], body: bytes):
        self._other = (status, fields, body)
        self._counts: Counter[str] = Counter()

    async def answer(self, request: RawRequest, response: RawResponse) -> None:
        self._counts[request.request_id] += 1
        number = self._counts[request.request_id]
        if number == 2:
            status, fields, body = self._other
            await response.write_head(*fields, status=status)
            await response.write(body)
            return
        await response.write_head(*STREAM_FIELDS, CHUNKED)
        if number == 1:
            await response.write(chunk(event(0) + event(1)))
            response.close()
            return
        for left in range(2, EVENT_COUNT):
            await response.write(chunk(event(left)))
        await response.write(EMPTY_CHUNK)


@pytest.mark.parametrize('name', OTHER_RESPONSES)
async def test_broken_stream_goes_on_only_with_its_continuation(
    site: Site, name: str
) -> None:
    """Guards against other responses in streams and in items' texts.

    The next endpoint answers something else; the one after it continues.
    """
    streams = InterruptedStreams(*OTHER_RESPONSES[name])
    whole = b''.join(event(number) for number in range(EVENT_COUNT))
    async with (
        raw_endpoint(streams.answer) as endpoint,
        site.node('node-1') as node,
    ):
        for engine in site.engines:
            site.move(engine, 'engines', endpoint.address)
        await asyncio.sleep(0.5)
        status, _, body = await site.send(node, '/resumable/a')
        assert (status, body) == (200, whole)
        assert await site.submit(node, site.job(item_count=2), 'job-1') == 202
        results = await site.results(node, 'job-1', 2)
    assert {result['text'] for result in results} == {
        '\n'.join(f'piece {number}' for number in range(EVENT_COUNT))
    }
