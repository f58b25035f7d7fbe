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


class EndpointCacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Prefix cache changes that follow a number.

    ``first_sequence`` is higher than the number after the one asked for if
    events were lost. Stored blocks apply before evicted ones. The next call
    asks for what follows ``last_sequence``. With ``cleared``, all that was
    known is void and ``stored`` holds all blocks.
    """

    first_sequence: int
    last_sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


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

    async def cache_events(self, after: int) -> EndpointCacheEvents | None:
        """Return cache events after a number; None if there is no cache.

        :raises EndpointError: the endpoint did not answer.
        """
        return None

    @abc.abstractmethod
    async def command(
        self,
        action: messages.EndpointAction,
        argument: str,
        fencing_number: ids.FencingNumber,
    ) -> None:
        """Carry out an order to load, switch or change role.

        :raises EndpointError: the endpoint refused or failed the order.
        """
