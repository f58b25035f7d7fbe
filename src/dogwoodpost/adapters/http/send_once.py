"""Prevents aiohttp from sending a request a second time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    import aiohttp


class SendOnce:
    """Client middleware for one request.

    aiohttp repeats GET, PUT and DELETE by itself when the connection breaks,
    although the endpoint may already have run the request.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Pass the request on the first time only.

        :raises EndpointError: the connection broke after the first time.
        """
        if self._sent:
            raise EndpointError('the connection broke before the answer')
        self._sent = True
        return await handler(request)
