"""Splits a stream of server-sent events and checks their order."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.streams.event_block import event_id
from dogwoodpost.core.streams.event_block import is_comment
from dogwoodpost.core.streams.event_splitter import EventSplitter
from dogwoodpost.errors import EndpointError

# Replaces the comments of a run that continues a stream: their text would
# stand in the middle of another endpoint's response.
_EMPTY_COMMENT = b':\n\n'


class EventChunk(msgspec.Struct, frozen=True):
    """One or more complete events, as received.

    :param last_event_id: id of the last event of the stream so far, None if
        no event has had an id.
    :param has_events: whether the chunk has more than comments.
    :param can_resume: whether the stream can be resumed after this chunk.
    """

    data: bytes
    last_event_id: int | None
    has_events: bool = True
    can_resume: bool = True


class OrderedEventSplitter:
    """Returns complete events and checks that their ids are consecutive.

    :param after: id of the event after which the stream resumes, None if it
        starts from the beginning.
    :param continues: the caller has received earlier events in the same
        response, so each event must have an id that shows its place.
    """

    def __init__(
        self, after: int | None = None, *, continues: bool = False
    ) -> None:
        self._last_id = after
        self._continues = continues
        self._can_resume = True
        self._splitter = EventSplitter()

    def feed(self, data: bytes) -> EventChunk | None:
        """Add received bytes and return the events completed by them, if any.

        :raises EndpointError: an incomplete event is too long, an id is not a
            number, an event's id does not follow the previous one, or an
            event that continues a stream has no id.
        """
        blocks = self._splitter.feed(data)
        if not blocks:
            return None
        has_events = False
        checked: list[bytes] = []
        for block in blocks:
            if is_comment(block):
                checked.append(_EMPTY_COMMENT if self._continues else block)
            else:
                has_events = True
                self._check_event(block)
                checked.append(block)
        return EventChunk(
            b''.join(checked), self._last_id, has_events, self._can_resume
        )

    def finish(self) -> EventChunk | None:
        """Return the comments at the end of the stream, None without any.

        :raises EndpointError: the stream has ended in the middle of an event.
        """
        comments = self._splitter.finish()
        if not comments or self._continues:
            return None
        return EventChunk(comments, self._last_id, False, self._can_resume)

    def _check_event(self, block: bytes) -> None:
        """Check and record the id of an event."""
        number = event_id(block)
        if number is not None:
            self._record_id(number)
        elif self._continues:
            raise EndpointError('an event has no id to continue a stream with')
        else:
            # A run that resumes could not tell that this event was received.
            self._can_resume = False

    def _record_id(self, number: int) -> None:
        if self._last_id is not None and number != self._last_id + 1:
            raise EndpointError("an event's id does not follow the last one")
        self._last_id = number
