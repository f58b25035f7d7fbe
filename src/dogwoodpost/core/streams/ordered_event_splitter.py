"""Cuts a byte stream of server-sent events behind whole events."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.streams.event_splitter import EVENT_END
from dogwoodpost.core.streams.event_splitter import EventSplitter
from dogwoodpost.errors import EndpointError

_ID_FIELD = b'id'


class EventChunk(msgspec.Struct, frozen=True):
    """Whole events as they came, and the id of the last one.

    :param last_event_id: None if no event has had an id so far.
    """

    data: bytes
    last_event_id: int | None


class OrderedEventSplitter:
    """Passes whole events on and checks that they follow each other.

    :param after: id that the stream goes on after, None from its beginning.
    """

    def __init__(self, after: int | None = None) -> None:
        self._last_id = after
        self._blocks = EventSplitter()

    def feed(self, data: bytes) -> EventChunk | None:
        """Return the events that are complete with more bytes, if any.

        :raises EndpointError: the events can't be joined to those before.
        """
        blocks = self._blocks.feed(data)
        if not blocks:
            return None
        for block in blocks:
            self._take(block)
        whole = EVENT_END.join(blocks) + EVENT_END
        return EventChunk(whole, self._last_id)

    def finish(self) -> None:
        """Check that the stream does not end in the middle of an event.

        :raises EndpointError: it does.
        """
        self._blocks.finish()

    def _take(self, block: bytes) -> None:
        event_id = _event_id(block)
        if event_id is None:
            return
        if self._last_id is not None and event_id != self._last_id + 1:
            raise EndpointError(
                f'event {event_id} follows event {self._last_id}'
            )
        self._last_id = event_id


def _event_id(block: bytes) -> int | None:
    """Return the id of an event, None for a comment.

    :raises EndpointError: the id is not a number.
    """
    for line in block.split(b'\n'):
        name, _, value = line.rstrip(b'\r').partition(b':')
        if name == _ID_FIELD:
            try:
                return int(value)
            except ValueError as error:
                raise EndpointError(f'malformed event: {error}') from error
    return None
