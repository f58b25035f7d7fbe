"""HTTP calls to platform interfaces that check no fencing numbers."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.adapters.http.bounded_connector import (
    BoundedProtocolConnector,
)
from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import MAX_DOCUMENT_BYTES
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.reset_on_close import set_reset_on_close
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


class GuardedBody:
    """Request body that calls a guard directly before it is sent.

    aiohttp requests the body once the connection is established, and sends
    the headers together with the body, so no operation that can block runs
    between the guard and the send.

    :param before_send: the guard; if it raises, nothing is sent.
    """

    def __init__(
        self, data: bytes, before_send: Callable[[], object] | None
    ) -> None:
        self._data = data
        self._before_send = before_send
        self.guard_error: DogwoodpostError | None = None
        self.was_sent = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Call the guard, then yield the body as one chunk."""
        if self._before_send is not None:
            try:
                self._before_send()
            except DogwoodpostError as error:
                self.guard_error = error
                raise
        self.was_sent = True
        yield self._data


class GuardedHttpClient:
    """Posts JSON documents, each over a new connection.

    On a time-out the connection is reset. This discards bytes that are still
    in the send buffer of this host's kernel, so that none can be sent after
    the lease has expired.
    """

    def __init__(
        self, base_url: str, *, timeout_s: float, token: str | None = None
    ) -> None:
        self._base_url = base_url.rstrip('/')
        # A call must end within the time that the lease reserves for it.
        self.timeout_s = min(timeout_s, LeaseTerms().longest_call_s)
        self._headers = {'Content-Type': 'application/json'}
        if token is not None:
            self._headers['Authorization'] = f'Bearer {token}'
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, path: str, **query: str) -> bytes:
        """Return the body of a successful response.

        :raises PlatformError: no response was received, or its status is not
            200.
        """
        try:
            async with self._open_session().get(
                self._base_url + path, params=query
            ) as response:
                body = await read_body(response, max_bytes=MAX_DOCUMENT_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f'{path}: {call_failure(error)}') from error
        if response.status != 200:
            raise PlatformError(f'{path}: status {response.status}')
        return body

    async def post(
        self,
        path: str,
        document: Any,
        before_send: Callable[[], object] | None,
    ) -> None:
        """Post a document as JSON.

        :param before_send: called directly before the bytes are sent; if it
            raises, nothing is sent and the exception propagates.
        :raises PlatformError: the document was refused or not accepted.
        :raises PlatformOutcomeUnknownError: the platform may have accepted
            the document.
        """
        data = msgspec.json.encode(document)
        body = GuardedBody(data, before_send)
        async with translate_guarded_errors(path, body):
            async with self._open_session().post(
                self._base_url + path,
                data=body,
                headers={'Content-Length': str(len(data))},
                # Following a redirect would send the document again without
                # calling the guard.
                allow_redirects=False,
            ) as response:
                await read_body(response, max_bytes=MAX_DOCUMENT_BYTES)
            self._check_status(path, response.status)

    def _check_status(self, path: str, status: int) -> None:
        """Distinguish a refusal from a failure with an unknown outcome.

        A 3xx or 4xx status other than 408 is the platform's own refusal. Any
        other failure may come from a proxy after the platform has accepted
        the document.

        :raises PlatformError: the platform refused the document.
        :raises PlatformOutcomeUnknownError: the platform may have accepted
            the document.
        """
        if is_success_status(status):
            return
        if 300 <= status < 500 and status != 408:
            raise PlatformError(f'{path}: status {status}')
        raise PlatformOutcomeUnknownError(f'{path}: status {status}')

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedProtocolConnector(
                    socket_factory=create_reset_on_close_socket
                ),
                timeout=aiohttp.ClientTimeout(total=self.timeout_s),
                headers=self._headers,
            )
        return self._session


@asynccontextmanager
async def translate_guarded_errors(
    path: str, body: GuardedBody
) -> AsyncIterator[None]:
    """Translate errors of a call by whether its body was sent.

    An error of the body's guard is raised as it is.

    :raises PlatformError: nothing was sent.
    :raises PlatformOutcomeUnknownError: the call may have taken effect.
    """
    try:
        yield
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        if body.guard_error is not None:
            raise body.guard_error from None
        if body.was_sent:
            raise PlatformOutcomeUnknownError(
                f'{path}: {call_failure(error)}'
            ) from error
        raise PlatformError(
            f'{path}: not sent: {call_failure(error)}'
        ) from error


def create_reset_on_close_socket(address: Any) -> socket.socket:
    """Return a socket that discards unsent bytes when it is closed."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    set_reset_on_close(created, enabled=True)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return created
