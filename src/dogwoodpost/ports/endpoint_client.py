"""Port: calls from an agent to one of its endpoints."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages


class EndpointRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an endpoint, without the caller's API key."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    priority: int = 0


class CacheEventBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to an engine's cache; each block uses one sequence number.

    :param first_sequence: sequence number of the first event.
    :param last_sequence: value to pass as ``after`` in the next call.
    """

    first_sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False
    last_sequence: int = 0


class EndpointResponse(abc.ABC):
    """A response whose body is still being received.

    :param ends_with_connection: only the end of the connection marks that of
        the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    ends_with_connection: bool = False

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        :raises EndpointError: the body ended early.
        """


class EndpointClient(abc.ABC):
    """Calls one endpoint."""

    @abc.abstractmethod
    def call(
        self, request: EndpointRequest
    ) -> AbstractAsyncContextManager[EndpointResponse]:
        """Send a request and open its response.

        :raises EndpointError: no response was received.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Cancel a request; an unknown id has no effect."""

    @abc.abstractmethod
    async def load(self) -> messages.EndpointLoad:
        """Return the endpoint's last load report.

        :raises EndpointError: the endpoint did not answer.
        """

    @abc.abstractmethod
    async def command(
        self,
        action: messages.EndpointAction,
        argument: str,
        fencing_number: ids.FencingNumber,
        fetch_from: tuple[str, ...] = (),
    ) -> None:
        """Send a command to load or switch weights or to change the role.

        :param fetch_from: URLs to try before the weight store.

        :raises EndpointError: the endpoint refused the command or failed.
        """

    async def cache_events(self, after: int) -> CacheEventBatch | None:
        """Return the cache events after a sequence number, None without any.

        :raises EndpointError: the endpoint did not answer.
        """
        return None
