"""Port: calls to endpoints without an agent beside them."""

from __future__ import annotations

import abc
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from dogwoodpost.core.batches.stream_event import StreamEvent
    from dogwoodpost.core.routing import Endpoint


class EndpointCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request to an endpoint; carries no caller's key.

    :param headers: without those that name the request or its limits.
    :param timeout_s: how long the endpoint may work on it.
    :param head_timeout_s: how long to wait for the head of the response.
    :param resume_after: id of the last event that is known of its stream.
    :param may_reuse_connection: may be sent on a connection that was used
        before. Its end may not have been noticed yet, so not for what must run
        once.
    """

    request_id: ids.RequestId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    client_account_id: ids.ClientAccountId | None = None
    resume_after: int | None = None
    head_timeout_s: float | None = None
    may_reuse_connection: bool = True


class NotRunReason(Enum):
    """Why an endpoint has not run a request."""

    UNREACHABLE = 'unreachable'
    OVERLOADED = 'overloaded'
    REPLACED = 'replaced'


class EndpointNotRunError(EndpointError):
    """The endpoint has not run the request and will not run it."""

    def __init__(
        self,
        reason: NotRunReason,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(message)


class EndpointReply(abc.ABC):
    """A response that is being received; its head has arrived.

    :param weight_version: version that the first token came from.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    weight_version: ids.WeightVersion | None

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises EndpointError: the body broke off.
        """

    @abc.abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the whole events of a stream.

        :raises EndpointError: the stream broke off.
        """


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine tells of itself.

    :param order_sequence: orders that it has accepted since its start.
    :param is_busy: an order is being carried out.
    """

    order_sequence: int
    is_busy: bool
    weight_versions: dict[ids.ModelName, ids.WeightVersion]


class SwitchMode(Enum):
    """What happens to running requests when the version changes."""

    FINISH_FIRST = 'finish_first'
    RESET = 'reset'
    CONTINUE = 'continue'


class VersionOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Orders an engine to change one model's weights.

    The engine checks ``expected_sequence`` when it carries the order out, so
    that a late copy of an order has no effect after a newer one.
    """

    model: ids.ModelName
    version: ids.WeightVersion
    mode: SwitchMode
    expected_sequence: int


class OrderOutcome(Enum):
    """Answer to an order."""

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


class EndpointGateway(abc.ABC):
    """Calls endpoints at their address.

    Each call names the endpoint that it is meant for; another one that has
    taken over the address refuses it.
    """

    @abc.abstractmethod
    def open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AbstractAsyncContextManager[EndpointReply]:
        """Send a request and receive the head of its response.

        Leaving the context early cancels the request.

        :raises EndpointNotRunError: it has not run.
        :raises EndpointError: it may have run.
        """

    @abc.abstractmethod
    async def report(self, endpoint: Endpoint) -> EngineReport:
        """Return an engine's report.

        :raises EndpointError: the engine did not answer.
        """

    @abc.abstractmethod
    async def order(
        self,
        endpoint: Endpoint,
        order: VersionOrder,
        before_send: Callable[[], ids.FencingNumber],
    ) -> OrderOutcome:
        """Order a version.

        ``before_send`` returns the fencing number directly before the order
        is sent; if it raises, nothing is sent.

        :raises EndpointError: the answer was lost; the order may be carried
            out, also later.
        """
