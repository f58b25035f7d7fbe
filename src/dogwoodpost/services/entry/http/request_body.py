"""Reads request bodies in bounded time and memory."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.refusals import memory_refusal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.memory_budget import MemoryReservation

# Bodies are kept in memory while their requests wait and run.
_MAX_TOTAL_BODY_BYTES = 512 * 1024 * 1024


class BodyMemory:
    """Limits the memory that all request bodies use together.

    :param budget: memory that they may use.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self._budget = budget or MemoryBudget(_MAX_TOTAL_BODY_BYTES)

    @contextmanager
    def reservation(self) -> Iterator[BodyReservation]:
        """Yield a reservation and release its memory after the block."""
        with self._budget.reservation() as memory:
            yield BodyReservation(memory)


class BodyReservation:
    """The memory that the body of one request uses."""

    def __init__(self, memory: MemoryReservation) -> None:
        self._memory = memory

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
                    self._memory.grow(len(chunk))
                    body += chunk
        except MemoryExceededError as error:
            raise memory_refusal(error) from error
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
