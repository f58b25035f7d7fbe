"""Endpoint gateway that replays scripted responses."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.errors import EndpointError
from dogwoodpost.platform.event_stream import EventDecoder
from dogwoodpost.ports.endpoint_gateway import EndpointGateway
from dogwoodpost.ports.endpoint_gateway import EndpointReply

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from dogwoodpost.core.batches import StreamEvent
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.ports.endpoint_gateway import EndpointCall
    from dogwoodpost.ports.endpoint_gateway import EngineReport
    from dogwoodpost.ports.endpoint_gateway import OrderOutcome
    from dogwoodpost.ports.endpoint_gateway import VersionOrder


class ScriptedResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A response as an endpoint sends it.

    :param breaks_off: the connection is lost after the body.
    """

    status: int = 200
    content_type: str | None = 'text/event-stream'
    version: int | None = 1
    length_bytes: int | None = None
    body: bytes = b''
    breaks_off: bool = False

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        fields = {
            'Content-Type': self.content_type,
            'X-Weight-Versions': self.version,
            'Content-Length': self.length_bytes,
        }
        return tuple(
            (name, str(value))
            for name, value in fields.items()
            if value is not None
        )


class ScriptedReply(EndpointReply):
    """Yields the body of a scripted response in small parts."""

    def __init__(self, response: ScriptedResponse) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers
        self.weight_version = response.version
        self.ends_with_connection = response.length_bytes is None

    async def chunks(self) -> AsyncIterator[bytes]:
        body = self._response.body
        for start in range(0, len(body), 7):
            yield body[start : start + 7]
        if self._response.breaks_off:
            raise EndpointError('body ended early')

    async def events(self) -> AsyncIterator[StreamEvent]:
        decoder = EventDecoder()
        async for data in self.chunks():
            for event in decoder.feed(data):
                yield event
        decoder.finish()


class ScriptedGateway(EndpointGateway):
    """Takes each call's response from a function.

    :param respond: takes the number of the call, from 0, and the call.
    """

    def __init__(
        self, respond: Callable[[int, EndpointCall], ScriptedResponse]
    ) -> None:
        self._respond = respond
        self.calls: list[EndpointCall] = []

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> AsyncIterator[EndpointReply]:
        self.calls.append(call)
        yield ScriptedReply(self._respond(len(self.calls) - 1, call))

    async def report(self, endpoint: Endpoint) -> EngineReport:
        raise NotImplementedError

    async def order(
        self, endpoint: Endpoint, order: VersionOrder, before_send: object
    ) -> OrderOutcome:
        raise NotImplementedError
