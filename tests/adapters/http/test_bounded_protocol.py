"""Limit on interim responses, and data fed to the parser in chunks."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.http_exceptions import HttpProcessingError

from dogwoodpost.adapters.http.bounded_protocol import BoundedResponseHandler
from dogwoodpost.adapters.http.bounded_protocol import MAX_INTERIM_COUNT

INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
FINAL = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
# Data that one read from a socket may return.
READ_BYTES = 256 * 1024


class FakeTransport(asyncio.Transport):
    """Records that it was closed or aborted."""

    is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    def close(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


@pytest.fixture
async def transport() -> FakeTransport:
    return FakeTransport()


@pytest.fixture
async def protocol(transport: FakeTransport) -> BoundedResponseHandler:
    protocol = BoundedResponseHandler(asyncio.get_running_loop())
    protocol.connection_made(transport)
    protocol.set_response_params()
    return protocol


async def test_interim_responses_up_to_the_limit_are_accepted(
    protocol: BoundedResponseHandler, transport: FakeTransport
) -> None:
    """Guards against refused responses that are within the limit."""
    protocol.data_received(INTERIM * MAX_INTERIM_COUNT + FINAL)
    for _ in range(MAX_INTERIM_COUNT):
        assert (await protocol.read())[0].code == 103
    message, body = await protocol.read()
    assert message.code == 200
    assert await body.read() == b'ok'
    assert not transport.is_aborted


async def test_interim_responses_beyond_the_limit_abort_the_connection(
    protocol: BoundedResponseHandler, transport: FakeTransport
) -> None:
    """Guards against a sender that keeps the event loop busy."""
    protocol.data_received(INTERIM * (READ_BYTES // len(INTERIM)))
    assert transport.is_aborted
    for _ in range(MAX_INTERIM_COUNT):
        await protocol.read()
    with pytest.raises(HttpProcessingError):
        await protocol.read()


async def test_long_body_is_received_in_order(
    protocol: BoundedResponseHandler,
) -> None:
    """Guards against chunks of a read that are lost or reordered."""
    body = bytes(number % 251 for number in range(READ_BYTES))
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    protocol.data_received(head.encode() + body)
    _, content = await protocol.read()
    assert await content.read() == body


@pytest.mark.parametrize('length', range(120_000, 160_000, 8_000))
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_body_beyond_the_buffer_ends_without_more_bytes(
    protocol: BoundedResponseHandler, length: int, is_chunked: bool
) -> None:
    """Guards against bodies that stall after their reader was too slow.

    The parser holds back data beyond the buffer, here 128 KiB. It must
    continue once the reader has caught up, even if no more bytes arrive.
    """
    protocol.set_response_params(read_bufsize=65_536)
    body = bytes(number % 251 for number in range(length))
    sent = b'Content-Length: %d\r\n\r\n%b' % (length, body)
    if is_chunked:
        sent = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
            length,
            body,
        )
    protocol.data_received(b'HTTP/1.1 200 OK\r\n' + sent)
    _, content = await protocol.read()
    async with asyncio.timeout(1.0):
        assert await content.read() == body
