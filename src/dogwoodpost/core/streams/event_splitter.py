"""Cuts a byte stream of server-sent events into events."""

from __future__ import annotations

from dogwoodpost.errors import EndpointError

EVENT_END = b'\n\n'
# A process receives many streams at once, so that each may hold back little.
_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Holds back the beginning of an event until its end has come."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete with more bytes.

        They come without the blank line at their end.

        :raises EndpointError: an event is too long.
        """
        *blocks, self._rest = (self._rest + data).split(EVENT_END)
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EndpointError('an event is too long')
        return blocks

    def finish(self) -> None:
        """Check that the stream does not end in the middle of an event.

        :raises EndpointError: it does.
        """
        if self._rest.strip():
            raise EndpointError('the stream ends in the middle of an event')
