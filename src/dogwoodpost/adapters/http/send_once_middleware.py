"""Prevents aiohttp from sending a request twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    import aiohttp


class SendOnceMiddleware:
    """Client middleware that sends one request at most once.

    aiohttp retries GET, PUT and DELETE by default when the connection is
    lost, although the endpoint may already have run the request.
    """

    def __init__(self) -> None:
        self._was_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send the request on the first call only.

        :raises EndpointError: aiohttp retries after a lost connection.
        """
        if self._was_sent:
            raise EndpointError('the connection was lost before the response')
        self._was_sent = True
        return await handler(request)
