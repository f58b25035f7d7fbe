"""Splits a stream of server-sent events and checks their order."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.streams.event_splitter import EVENT_END
from dogwoodpost.core.streams.event_splitter import EventSplitter
from dogwoodpost.errors import EndpointError

_ID_FIELD = b'id'


class EventChunk(msgspec.Struct, frozen=True):
    """One or more complete events, as received.

    :param last_event_id: id of the last event of the stream so far, None if
        no event has had an id.
    """

    data: bytes
    last_event_id: int | None


class OrderedEventSplitter:
    """Returns complete events and checks that their ids are consecutive.

    :param after: id of the event after which the stream resumes, None if it
        starts from the beginning.
    """

    def __init__(self, after: int | None = None) -> None:
        self._last_id = after
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> EventChunk | None:
        """Add received bytes and return the events completed by them, if any.

        :raises EndpointError: an incomplete event is too long, an id is not a
            number, or an event's id does not follow the previous one.
        """
        events = self._splitter.feed(data)
        if not events:
            return None
        for event in events:
            self._record_id(event)
        joined = EVENT_END.join(events) + EVENT_END
        return EventChunk(joined, self._last_id)

    def finish(self) -> None:
        """Check that the stream has not ended in the middle of an event.

        :raises EndpointError: an incomplete event is left.
        """
        self._splitter.finish()

    def _record_id(self, event: bytes) -> None:
        event_id = _event_id(event)
        if event_id is None:
            return
        if self._last_id is not None and event_id != self._last_id + 1:
            raise EndpointError(
                f'event {event_id} follows event {self._last_id}'
            )
        self._last_id = event_id


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, None if it has none, such as a comment.

    :raises EndpointError: the id is not a number.
    """
    for line in event.split(b'\n'):
        name, _, value = line.rstrip(b'\r').partition(b':')
        if name == _ID_FIELD:
            try:
                return int(value)
            except ValueError as error:
                raise EndpointError(f'malformed event: {error}') from error
    return None
