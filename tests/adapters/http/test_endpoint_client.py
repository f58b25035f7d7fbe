"""Contract tests of the endpoint client with connection faults."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.adapters.http import HttpEndpointClient
from dogwoodpost.adapters.http.endpoint_session import endpoint_session
from dogwoodpost.adapters.reset_on_close import set_reset_on_close
from dogwoodpost.core import ids
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointUnsupportedError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.endpoint_client import EndpointRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class RawServer:
    """Sends the same bytes to each request, then closes or waits."""

    def __init__(self, answer: bytes, *, silent: bool = False) -> None:
        self._answer = answer
        self._silent = silent
        self.requests: list[bytes] = []

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.requests.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(self._answer)
        if self._silent:
            await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def connected(raw: RawServer) -> AsyncIterator[HttpEndpointClient]:
    server = await asyncio.start_server(raw.handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with endpoint_session(Metrics()) as session:
        yield HttpEndpointClient(
            ids.EndpointId('e'),
            f'http://127.0.0.1:{port}/',
            session,
            idle_timeout_s=0.2,
        )
    server.close()


def make_request(**changes: object) -> EndpointRequest:
    fields = {
        'request_id': 'r1',
        'method': 'POST',
        'path': '/a%2Fb?c=%20',
        'headers': (('X-Kept', '1'),),
        'body': b'body',
        'timeout_s': 0.5,
    }
    return EndpointRequest(**{**fields, **changes})


async def call(client: HttpEndpointClient, **changes: object) -> bytes:
    async with client.call(make_request(**changes)) as response:
        return b''.join([chunk async for chunk in response.chunks()])


async def test_request_is_passed_on_as_it_is() -> None:
    """Guards against a changed path and against leaked credentials."""
    raw = RawServer(HEAD + b'body')
    secret = (('Authorization', 'Bearer k'), ('Cookie', 'k=1'))
    async with connected(raw) as client:
        headers = (*secret, ('X-Kept', '1'))
        assert await call(client, headers=headers) == b'body'
    sent = raw.requests[0].decode()
    assert sent.startswith('POST /a%2Fb?c=%20 HTTP/1.1\r\n')
    assert 'X-Kept: 1' in sent and 'X-Request-Id: r1' in sent
    assert 'Bearer' not in sent and 'k=1' not in sent


@pytest.mark.parametrize(
    ('answer', 'silent'),
    [
        (b'', False),
        (b'', True),
        (b'nonsense\r\n\r\n', False),
        (HEAD + b'bo', False),
        (HEAD + b'bo', True),
        (CHUNKED + b'2\r\nab\r\n', False),
        (CHUNKED + b'2\r\nab\r\n', True),
        (CHUNKED + b'zz\r\n', False),
    ],
)
@pytest.mark.parametrize('method', ['POST', 'GET', 'PUT', 'DELETE'])
async def test_fault_is_explicit_and_sent_once(
    method: str, answer: bytes, silent: bool
) -> None:
    """Guards against accepting a partial body, and a silent second run."""
    raw = RawServer(answer, silent=silent)
    async with connected(raw) as client:
        with pytest.raises(EndpointError):
            await call(client, method=method)
    assert len(raw.requests) == 1


async def test_reset_does_not_end_a_body_without_a_length() -> None:
    """Guards against a part of a body that is taken for all of it.

    aiohttp reports a reset as the end of such a body.
    """

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await asyncio.sleep(0.05)
        set_reset_on_close(writer.get_extra_info('socket'), enabled=True)
        writer.close()

    raw = RawServer(b'')
    raw.handle = handle
    async with connected(raw) as client:
        with pytest.raises(EndpointError, match='ended early'):
            await call(client)


async def test_silent_engine_is_found_before_the_time_limit() -> None:
    """Guards against waiting the whole time limit for a silent engine."""
    raw = RawServer(b'', silent=True)
    async with connected(raw) as client:
        with pytest.raises(EndpointError, match=r'no answer within 0\.2'):
            await call(client, path='/v1/completions', timeout_s=3_600.0)


async def test_refused_connection_is_an_error() -> None:
    """Guards against an unhandled error when the endpoint is down."""
    async with endpoint_session(Metrics()) as session:
        client = HttpEndpointClient(
            ids.EndpointId('e'), 'http://127.0.0.1:1', session
        )
        with pytest.raises(EndpointError):
            await call(client)
        with pytest.raises(EndpointError):
            await client.load()
        await client.cancel('r1')


@pytest.mark.parametrize(
    ('status', 'body', 'error'),
    [
        ('404 Not Found', b'{}', EndpointUnsupportedError),
        ('409 Conflict', b'{}', EndpointError),
        ('200 OK', b'{"running_count": "x"}', EndpointError),
        ('200 OK', b'\xff', EndpointError),
    ],
)
async def test_bad_control_answer(
    status: str, body: bytes, error: type
) -> None:
    """Guards against accepting malformed responses as load reports."""
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    async with connected(RawServer(head.encode() + body)) as client:
        with pytest.raises(error):
            await client.load()


async def test_cache_events_are_decoded() -> None:
    """Guards against events that differ from those of the engine."""
    batch = {'first_sequence': 3, 'stored': [1], 'last_sequence': 3}
    body = msgspec.json.encode(batch)
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    async with connected(RawServer(head.encode() + body)) as client:
        events = await client.cache_events(2)
    assert (events.first_sequence, events.stored) == (3, (1,))
