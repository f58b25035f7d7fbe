"""Prevents aiohttp from sending a request twice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.call_errors import CallError

if TYPE_CHECKING:
    from collections.abc import Sequence

# Passed with a call that may be sent twice; replaces those of its session.
MAY_REPEAT: Sequence[aiohttp.ClientMiddlewareType] = ()
# Errors that occur before any part of a request is sent.
NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class ConnectionLostError(CallError):
    """The connection was lost before the response; the request may run."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; a client middleware.

    aiohttp repeats a request with an idempotent method (GET, HEAD, OPTIONS,
    TRACE, PUT or DELETE) when its connection is lost. The peer may have
    received it nevertheless, and its method does not tell whether it may run
    twice. The error that this middleware raises instead is not repeated.

    :raises ConnectionLostError: the connection was lost.
    """
    try:
        return await handler(request)
    except NOT_CONNECTED_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(call_failure(error)) from error
