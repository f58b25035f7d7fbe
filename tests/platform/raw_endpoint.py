"""Endpoint for tests that control each byte of the responses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

import msgspec

from tests.platform.loopback import loopback_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

CHUNK = b'x' * 65_536
CHUNKED = 'Transfer-Encoding: chunked'
EMPTY_CHUNK = b'0\r\n\r\n'
STREAM_FIELDS = ('Content-Type: text/event-stream', 'X-Weight-Versions: 1')


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


class RawRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to the endpoint; both numbers start at 1.

    :param number: number of the request on its connection.
    :param total_number: number of the request at the endpoint.
    """

    request_id: str
    number: int
    total_number: int


class RawResponse:
    """Writes to the connection of one request."""

    def __init__(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._request = request
        self._writer = writer
        self.sent_bytes = 0

    async def write(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()
        self.sent_bytes += len(data)

    async def write_head(self, *fields: str, status: str = '200 OK') -> None:
        """Write the head of a response to the request.

        :param fields: further header lines.
        """
        await self.write_lines(f'HTTP/1.1 {status}', *fields)

    async def write_lines(self, *lines: str) -> None:
        """Write the lines of a head, and those that name the request last."""
        request_id = self._request.request_id
        own_lines = (
            f'X-Request-Id: {request_id}',
            f'X-Response-Signature: signed-{request_id}',
        )
        await self.write('\r\n'.join((*lines, *own_lines, '', '')).encode())

    async def write_response(self, body: bytes) -> None:
        await self.write_head(f'Content-Length: {len(body)}')
        await self.write(body)

    async def write_stream(self, event_count: int) -> None:
        """Write a whole stream."""
        await self.write_head(*STREAM_FIELDS, CHUNKED)
        for number in range(event_count):
            await self.write(chunk(event(number)))
        await self.write(EMPTY_CHUNK)

    async def write_endlessly(self, data: bytes) -> None:
        """Write the same bytes until the caller closes the connection."""
        while True:
            await self.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        connection = self._writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self._writer.transport.abort()

    def close(self) -> None:
        self._writer.close()


class RawEndpoint:
    """Counts requests and connections, and responds by a callback.

    :param answer: called for each request.
    """

    def __init__(
        self, answer: Callable[[RawRequest, RawResponse], Awaitable[None]]
    ) -> None:
        self._answer = answer
        self.address = ''
        self.request_count = 0
        self.connection_count = 0
        self.max_sent_bytes = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        number = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request_id = await _read_request(reader)
                number += 1
                self.request_count += 1
                request = RawRequest(
                    request_id=request_id,
                    number=number,
                    total_number=self.request_count,
                )
                response = RawResponse(request, writer)
                try:
                    await self._answer(request, response)
                finally:
                    self.max_sent_bytes = max(
                        self.max_sent_bytes, response.sent_bytes
                    )
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> str:
    head = await reader.readuntil(b'\r\n\r\n')
    fields = dict(
        line.lower().split(': ', 1)
        for line in head.decode().split('\r\n')[1:-2]
    )
    await reader.readexactly(int(fields.get('content-length', 0)))
    return fields.get('x-request-id', '')


@contextlib.asynccontextmanager
async def raw_endpoint(
    answer: Callable[[RawRequest, RawResponse], Awaitable[None]],
) -> AsyncIterator[RawEndpoint]:
    """Serve on loopback during the block."""
    endpoint = RawEndpoint(answer)
    async with loopback_server(endpoint._serve) as endpoint.address:
        yield endpoint
