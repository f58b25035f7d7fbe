"""Bytes before a response, as the client protocol takes them."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.http_exceptions import HttpProcessingError

from dogwoodpost.platform.bounded_protocol import BoundedResponseHandler
from dogwoodpost.platform.bounded_protocol import MAX_INTERIM_COUNT

INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
FINAL = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
# What one read from a socket may bring.
READ_BYTES = 256 * 1024


class FakeTransport(asyncio.Transport):
    """Remembers that it was ended."""

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


async def test_some_interim_responses_precede_the_final_one(
    protocol: BoundedResponseHandler, transport: FakeTransport
) -> None:
    """Guards against sound responses that are refused."""
    protocol.data_received(INTERIM * MAX_INTERIM_COUNT + FINAL)
    for _ in range(MAX_INTERIM_COUNT):
        assert (await protocol.read())[0].code == 103
    message, body = await protocol.read()
    assert message.code == 200
    assert await body.read() == b'ok'
    assert not transport.is_aborted


async def test_interim_responses_without_end_are_not_parsed_on(
    protocol: BoundedResponseHandler, transport: FakeTransport
) -> None:
    """Guards against a sender that keeps the loop busy."""
    protocol.data_received(INTERIM * (READ_BYTES // len(INTERIM)))
    assert transport.is_aborted
    for _ in range(MAX_INTERIM_COUNT):
        await protocol.read()
    with pytest.raises(HttpProcessingError):
        await protocol.read()


async def test_long_body_is_received_in_order(
    protocol: BoundedResponseHandler,
) -> None:
    """Guards against pieces of a read that are lost or swapped."""
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
    """Guards against bodies that stall once their reader was too slow.

    The parser holds back what exceeds the buffer, here of 128 KiB, and goes on
    with it when the reader has caught up, whether or not more bytes come.
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
