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
        lines = (
            f'HTTP/1.1 {status}',
            f'X-Request-Id: {self._request.request_id}',
            f'X-Response-Signature: signed-{self._request.request_id}',
            *fields,
        )
        await self.write('\r\n'.join((*lines, '', '')).encode())

    async def write_response(self, body: bytes) -> None:
        await self.write_head(f'Content-Length: {len(body)}')
        await self.write(body)

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
