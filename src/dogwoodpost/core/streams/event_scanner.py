"""Finds the ends of server-sent events in a byte stream."""

from __future__ import annotations

from dogwoodpost.errors import EndpointError

_LINE_ENDS = b'\r\n'
_COMMENT_START = b':'


class EventScanner:
    """Finds where events end, without keeping their bytes.

    A line ends with LF, CRLF or CR, and an event with a blank line. A block
    is an event, or comment lines before a blank line.

    ``has_events`` tells whether an event is complete.
    """

    def __init__(self) -> None:
        self.has_events = False
        # Whether the last line has bytes, but no end.
        self._is_in_line = False
        # Whether the last block has a field.
        self._is_in_event = False
        self._ends_with_cr = False

    def feed(self, data: bytes) -> list[int]:
        """Read the next bytes; return the offsets in them where blocks end."""
        ends: list[int] = []
        offset = 0
        if self._ends_with_cr and data.startswith(b'\n'):
            # The rest of a CRLF; the line ended with its first byte.
            offset = 1
        for line in data[offset:].splitlines(keepends=True):
            offset += len(line)
            if self._read_line(line):
                ends.append(offset)
        if data:
            self._ends_with_cr = data.endswith(b'\r')
        return ends

    def check_end(self) -> None:
        """Check that the stream may end here.

        :raises EndpointError: its last event or line is incomplete.
        """
        if self._is_in_event or self._is_in_line:
            raise EndpointError('the stream ends in the middle of an event')

    def _read_line(self, line: bytes) -> bool:
        """Read a line or a part of one; return whether a block ends there."""
        text = line.rstrip(_LINE_ENDS)
        if text and not self._is_in_line:
            self._is_in_line = True
            if not text.startswith(_COMMENT_START):
                self._is_in_event = True
        if len(text) == len(line):
            return False
        is_blank = not self._is_in_line
        self._is_in_line = False
        if is_blank:
            self.has_events = self.has_events or self._is_in_event
            self._is_in_event = False
        return is_blank
