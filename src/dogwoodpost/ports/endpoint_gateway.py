"""Port: direct calls to endpoints that have no agent."""

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
    """A request to an endpoint, without the caller's API key.

    :param headers: headers without the request id and the limits.
    :param timeout_s: seconds that the endpoint may work on the request.
    :param head_timeout_s: seconds to wait for the head of the response.
    :param resume_after: id of the last event received from the stream.
    :param may_reuse_connection: the request may be sent on a connection that
        was used before. The endpoint may have closed such a connection
        unnoticed, so a request that must not run twice needs a new one.
    :param max_idle_s: longest time since such a connection was heard from, in
        seconds; None for any time.
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
    max_idle_s: float | None = None


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
    """A response whose head has arrived and whose body is being received.

    :param weight_version: weight version that produced the first token.
    :param ends_with_connection: only the end of the connection marks that of
        the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    weight_version: ids.WeightVersion | None
    ends_with_connection: bool = False

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        :raises EndpointError: the body ended early.
        """

    @abc.abstractmethod
    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the complete events of a stream.

        :raises EndpointError: the stream ended early.
        """


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """State that an engine reports.

    :param order_sequence: count of orders accepted since the engine started.
    :param is_busy: an order is being carried out.
    :param weight_versions: weight version of each loaded model.
    """

    order_sequence: int
    is_busy: bool
    weight_versions: dict[ids.ModelName, ids.WeightVersion]


class SwitchMode(Enum):
    """What happens to running requests when the weight version changes."""

    FINISH_FIRST = 'finish_first'
    RESET = 'reset'
    CONTINUE = 'continue'


class VersionOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Orders an engine to change one model's weights.

    The engine compares ``expected_sequence`` with its order sequence when
    it carries out the order, so that a delayed copy has no effect after a
    newer order.
    """

    model: ids.ModelName
    version: ids.WeightVersion
    mode: SwitchMode
    expected_sequence: int


class OrderOutcome(Enum):
    """Response to an order."""

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'


class EndpointGateway(abc.ABC):
    """Calls endpoints at their address.

    Each call carries the id of the endpoint that it is addressed to; another
    endpoint that now has the address refuses the call.
    """

    @abc.abstractmethod
    def open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AbstractAsyncContextManager[EndpointReply]:
        """Send a request and receive the head of its response.

        Leaving the context early cancels the request.

        :raises EndpointNotRunError: the request has not run and will not run.
        :raises EndpointError: the request may have run.
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
        """Order an engine to change a model's weight version.

        ``before_send`` returns the fencing number directly before the order
        is sent; if it raises, nothing is sent.

        :raises EndpointError: the response was lost; the order may be carried
            out now or later.
        """
