"""An endpoint's response over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.hop_by_hop import without_hop_by_hop
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.endpoint_client import EndpointResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_CHUNK_BYTES = 64 * 1024


class HttpEndpointResponse(EndpointResponse):
    """Reads the body in chunks of at most ``MAX_CHUNK_BYTES``."""

    def __init__(
        self, response: aiohttp.ClientResponse, silence_timeout_s: float
    ) -> None:
        self.status = response.status
        self.headers = without_hop_by_hop(response.headers.items())
        self._response = response
        self._silence_timeout_s = silence_timeout_s

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises EndpointError: the body broke off or the endpoint fell silent.
        """
        while True:
            chunk = await self._read()
            if not chunk:
                return
            yield chunk

    async def _read(self) -> bytes:
        try:
            async with asyncio.timeout(self._silence_timeout_s):
                return await self._response.content.read(MAX_CHUNK_BYTES)
        except TimeoutError as error:
            raise EndpointError('no bytes within the time limit') from error
        except (aiohttp.ClientError, OSError) as error:
            raise EndpointError(f'the body broke off: {error!r}') from error
