"""Splits a byte stream of server-sent events into events."""

from __future__ import annotations

from dogwoodpost.errors import EndpointError

EVENT_END = b'\n\n'
# A process receives many streams at once, so the buffer of each is limited.
_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Buffers an incomplete event until the rest of it is received."""

    def __init__(self) -> None:
        self._incomplete = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events completed by them.

        The blank line at the end of each event is removed.

        :raises EndpointError: an incomplete event is longer than 256 KiB.
        """
        *events, self._incomplete = (self._incomplete + data).split(EVENT_END)
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise EndpointError('an event is too long')
        return events

    def finish(self) -> None:
        """Check that the stream has not ended in the middle of an event.

        :raises EndpointError: an incomplete event is left.
        """
        if self._incomplete.strip():
            raise EndpointError('the stream ends in the middle of an event')
