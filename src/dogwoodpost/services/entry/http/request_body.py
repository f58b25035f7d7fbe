"""Reads request bodies in bounded time and memory."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bodies are kept in memory while their requests wait and run.
_MAX_TOTAL_BODY_BYTES = 512 * 1024 * 1024


class BodyMemory:
    """Limits the memory that all request bodies use together."""

    def __init__(self, max_bytes: int = _MAX_TOTAL_BODY_BYTES) -> None:
        self._max_bytes = max_bytes
        self.used_bytes = 0

    @contextmanager
    def reservation(self) -> Iterator[BodyReservation]:
        """Yield a reservation and release its memory after the block."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used_bytes -= reservation.reserved_bytes

    def reserve(self, size_bytes: int) -> None:
        """Reserve memory for a part of a body.

        :raises RequestError: the bodies would exceed the memory limit.
        """
        if self.used_bytes + size_bytes > self._max_bytes:
            raise RequestError(
                'entry_overloaded',
                'this entry holds too many request bodies',
                status=503,
                not_run=True,
                retry_after_s=1.0,
            )
        self.used_bytes += size_bytes


class BodyReservation:
    """The memory that the body of one request uses."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.reserved_bytes = 0

    async def read(
        self, request: web.Request, max_bytes: int, timeout_s: float
    ) -> bytes:
        """Return the body of a request.

        :raises RequestError: the body is too large or malformed, did not
            arrive within the timeout, or exceeds the memory limit.
        """
        declared_bytes = request.content_length
        if declared_bytes is not None and declared_bytes > max_bytes:
            raise _too_large(max_bytes)
        body = bytearray()
        try:
            async with asyncio.timeout(timeout_s):
                async for chunk in request.content.iter_any():
                    if len(body) + len(chunk) > max_bytes:
                        raise _too_large(max_bytes)
                    self._memory.reserve(len(chunk))
                    self.reserved_bytes += len(chunk)
                    body += chunk
        except TimeoutError:
            raise RequestError(
                'body_timeout',
                f'the body did not arrive within {timeout_s:g} s',
                status=408,
                not_run=True,
            ) from None
        except web.RequestPayloadError:
            raise RequestError(
                'malformed_body',
                'the body does not follow its transfer encoding',
                status=400,
                not_run=True,
            ) from None
        return bytes(body)


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        'body_too_large',
        f'the body is larger than {max_bytes} bytes',
        status=413,
        not_run=True,
    )
