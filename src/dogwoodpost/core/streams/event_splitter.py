"""Splits a byte stream of server-sent events into events."""

from __future__ import annotations

from dogwoodpost.core.streams.event_scanner import EventScanner
from dogwoodpost.errors import EndpointError

# A process receives many streams at once, so the buffer of each is limited.
_MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Buffers an incomplete event until the rest of it is received."""

    def __init__(self) -> None:
        self._scanner = EventScanner()
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the blocks completed by them.

        A block is an event or comments, with the blank line at its end.

        :raises EndpointError: an incomplete event is longer than 256 KiB.
        """
        blocks: list[bytes] = []
        start = 0
        for end in self._scanner.feed(data):
            self._incomplete += data[start:end]
            blocks.append(bytes(self._incomplete))
            self._incomplete.clear()
            start = end
        self._incomplete += data[start:]
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise EndpointError('an event is too long')
        return blocks

    def finish(self) -> bytes:
        """Return the comments after the last block.

        :raises EndpointError: the stream has ended in the middle of an event.
        """
        self._scanner.check_end()
        return bytes(self._incomplete)
