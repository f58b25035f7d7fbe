"""HTTP calls to platform interfaces that know no fencing number."""

from __future__ import annotations

import socket
import struct
from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

_LINGER_OFF = struct.pack('ii', 1, 0)


class GuardedBody:
    """Request body that asks a guard directly before it is sent.

    The connection stands when the body is asked for, and the headers are
    held back to go out with it, so nothing that can wait lies between the
    guard and the send.
    """

    def __init__(
        self, data: bytes, before_send: Callable[[], object] | None
    ) -> None:
        self._data = data
        self._before_send = before_send
        self.refusal: DogwoodpostError | None = None
        self.was_sent = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body as one piece if the guard agrees."""
        if self._before_send is not None:
            try:
                self._before_send()
            except DogwoodpostError as error:
                self.refusal = error
                raise
        self.was_sent = True
        yield self._data


class GuardedHttp:
    """Posts JSON documents, each over a connection of its own.

    On a timeout the connection is reset, so that bytes that still wait in
    this host's kernel are discarded and cannot leave after the lease has
    expired.
    """

    def __init__(
        self, base_url: str, *, timeout_s: float, token: str | None = None
    ) -> None:
        self._base_url = base_url.rstrip('/')
        # A call must end within the margin that the lease keeps for it.
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

        :raises PlatformError: no or no successful response came.
        """
        try:
            async with self._open_session().get(
                self._base_url + path, params=query
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f'{path}: {error!r}') from error
        if response.status != 200:
            raise PlatformError(f'{path}: status {response.status}')
        return body

    async def post(
        self,
        path: str,
        document: Any,
        before_send: Callable[[], object] | None,
    ) -> None:
        """Post a document.

        :raises PlatformError: the document was refused or not taken.
        :raises PlatformOutcomeUnknownError: it may have been taken.
        """
        data = msgspec.json.encode(document)
        body = GuardedBody(data, before_send)
        async with self._translated_errors(path, body):
            async with self._open_session().post(
                self._base_url + path,
                data=body,
                headers={'Content-Length': str(len(data))},
                # A redirect would send the document again, unguarded.
                allow_redirects=False,
            ) as response:
                await response.read()
            self._check_status(path, response.status)

    @asynccontextmanager
    async def _translated_errors(
        self, path: str, body: GuardedBody
    ) -> AsyncIterator[None]:
        try:
            yield
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if body.refusal is not None:
                raise body.refusal from None
            if body.was_sent:
                raise PlatformOutcomeUnknownError(
                    f'{path}: {error!r}'
                ) from error
            raise PlatformError(f'{path}: not sent: {error!r}') from error

    def _check_status(self, path: str, status: int) -> None:
        """Tell a refusal from a failure that may have taken effect.

        A redirect or 4xx is the platform's own refusal; any other failure may
        come from a proxy in between, after the platform took the document.
        """
        if 200 <= status < 300:
            return
        if 300 <= status < 500 and status != 408:
            raise PlatformError(f'{path}: status {status}')
        raise PlatformOutcomeUnknownError(f'{path}: status {status}')

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    force_close=True, socket_factory=open_resetting_socket
                ),
                timeout=aiohttp.ClientTimeout(total=self.timeout_s),
                headers=self._headers,
            )
        return self._session


def open_resetting_socket(address: Any) -> socket.socket:
    """Return a socket whose close discards unsent bytes."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened
