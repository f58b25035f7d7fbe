"""Port: an endpoint as its agent sees it."""

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
    """A request to an endpoint; carries no caller's key."""

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    priority: int = 0


class CacheEventBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Cache events of an engine; each block counts as one number.

    ``last_sequence`` is what the next call passes as ``after``.
    """

    first_sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False
    last_sequence: int = 0


class EndpointResponse(abc.ABC):
    """An answer that is being received."""

    status: int
    headers: tuple[tuple[str, str], ...]

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises EndpointError: the body broke off.
        """


class EndpointClient(abc.ABC):
    """Calls one endpoint."""

    @abc.abstractmethod
    def call(
        self, request: EndpointRequest
    ) -> AbstractAsyncContextManager[EndpointResponse]:
        """Send a request and open its answer.

        :raises EndpointError: no answer came.
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
        """Carry out an order to load, switch or change role.

        ``fetch_from`` are URLs to try before the weight store.

        :raises EndpointError: the endpoint refused or failed the order.
        """

    async def cache_events(self, after: int) -> CacheEventBatch | None:
        """Return the cache events after a number, None without any.

        :raises EndpointError: the endpoint did not answer.
        """
        return None
