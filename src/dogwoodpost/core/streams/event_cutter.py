"""Cuts a byte stream of server-sent events behind whole events."""

from __future__ import annotations

import msgspec

from dogwoodpost.errors import EndpointError

_EVENT_END = b'\n\n'
_ID_FIELD = b'id'
_MAX_EVENT_BYTES = 4 * 1024 * 1024


class StreamPiece(msgspec.Struct, frozen=True):
    """Whole events as they came, and the id of the last one.

    :param last_event_id: None if no event has had an id so far.
    """

    data: bytes
    last_event_id: int | None


class EventCutter:
    """Holds back the beginning of an event until its end has come.

    :param after: id that the stream goes on after, None from its beginning.
    """

    def __init__(self, after: int | None = None) -> None:
        self._last_id = after
        self._rest = b''

    def feed(self, data: bytes) -> StreamPiece | None:
        """Return the events that are complete with more bytes, if any.

        :raises EndpointError: the events can't be joined to those before.
        """
        whole, end, self._rest = (self._rest + data).rpartition(_EVENT_END)
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EndpointError('an event is too long')
        if not end:
            return None
        for block in whole.split(_EVENT_END):
            self._take(block)
        return StreamPiece(whole + end, self._last_id)

    def finish(self) -> None:
        """Check that the stream does not end in the middle of an event.

        :raises EndpointError: it does.
        """
        if self._rest.strip():
            raise EndpointError('the stream ends in the middle of an event')

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
