"""Calls that only the holder of a lease may make."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.platform.guarded_http_client import (
    create_reset_on_close_socket,
)
from dogwoodpost.adapters.platform.guarded_http_client import GuardedBody
from dogwoodpost.adapters.platform.guarded_http_client import (
    translate_guarded_errors,
)
from dogwoodpost.errors import LeaseLostError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Mapping

    import yarl

    from dogwoodpost.core import ids

# Longest time from the check of the lease until the call has ended.
GUARDED_CALL_TIMEOUT_S = 0.7
_CONNECT_TIMEOUT_S = 0.5
_MS_PER_S = 1_000


def create_guarded_socket(address: Any) -> socket.socket:
    """Return a socket whose bytes do not outlive the call.

    Bytes that were not acknowledged are discarded when the call is given up,
    when the process ends, and by the kernel while the process is suspended.
    """
    created = create_reset_on_close_socket(address)
    timeout_ms = int(GUARDED_CALL_TIMEOUT_S * _MS_PER_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    return created


def same_lease(
    fencing_number: Callable[[], ids.FencingNumber],
    number: ids.FencingNumber,
) -> Callable[[], None]:
    """Return a check that a lease still has its fencing number.

    :param fencing_number: returns the current number; raises
        ``LeaseLostError`` if the lease is not held.
    :param number: the number that the call states.
    """

    def check() -> None:
        if fencing_number() != number:
            raise LeaseLostError(f'fencing number {number} is no longer valid')

    return check


@asynccontextmanager
async def guarded_post(
    session: aiohttp.ClientSession,
    url: yarl.URL,
    data: bytes,
    *,
    headers: Mapping[str, str],
    before_send: Callable[[], object],
    trace_request_ctx: object = None,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a POST request under a lease; yield the head of its response.

    :param session: a session with sockets of :func:`create_guarded_socket`.
    :param before_send: called when the connection stands, directly before
        bytes are sent; if it raises, none are sent.
    :raises PlatformError: nothing was sent.
    :raises PlatformOutcomeUnknownError: no response arrived; the call may
        have taken effect.
    """
    body = GuardedBody(data, before_send)
    async with (
        translate_guarded_errors(url.path, body),
        session.post(
            url,
            data=body,
            headers={
                'Content-Type': 'application/json',
                'Content-Length': str(len(data)),
                **headers,
            },
            allow_redirects=False,
            trace_request_ctx=trace_request_ctx,
            timeout=aiohttp.ClientTimeout(
                total=GUARDED_CALL_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
            ),
        ) as response,
    ):
        yield response
