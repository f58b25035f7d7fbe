"""Validation of response heads before they are parsed."""

from __future__ import annotations

import re
from enum import Enum

from dogwoodpost.adapters.http.call_errors import CallError
from dogwoodpost.core.http_headers import CONTROL_CODE_PATTERN
from dogwoodpost.core.http_headers import TOKEN_PATTERN
from dogwoodpost.core.http_status import is_final_status
from dogwoodpost.core.http_status import is_interim_status

# RFC 9112, section 4; some servers leave out the space before an empty reason.
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] (\d{3})(?: .*)?', re.DOTALL)
# RFC 9112, section 5.1: no blank between a name and its colon.
_FIELD_NAME = re.compile(TOKEN_PATTERN.encode() + b':')
_CONTROL_CODE = re.compile(CONTROL_CODE_PATTERN.encode())
# The parser's own limit is 8,190 bytes, blanks around a value not counted.
_MAX_LINE_BYTES = 16 * 1024
# Begin a line that continues the value of the line before.
_BLANKS = b' \t'


class MalformedHeadError(CallError):
    """The head of a response is malformed; the text has none of its bytes."""

    def __init__(self, detail: str) -> None:
        super().__init__(f'malformed response head: {detail}')


class _Section(Enum):
    """What the next line of a response belongs to."""

    STATUS_LINE = 'status_line'
    FIRST_FIELD = 'first_field'
    FIELDS = 'fields'
    BODY = 'body'


class ResponseHeadValidator:
    """Checks the heads of one final response and of interim ones before it.

    aiohttp's parser accepts heads that others reject or read differently, so
    what it makes of them must not be passed on.
    """

    def __init__(self) -> None:
        self._section = _Section.STATUS_LINE
        self._is_interim = False
        # Start of a line whose end has not arrived.
        self._partial_line = b''

    def feed(self, data: bytes) -> None:
        """Check received bytes; a line is checked once it is complete.

        :raises MalformedHeadError: a line of a head is malformed.
        """
        start = 0
        while self._section is not _Section.BODY:
            end = data.find(b'\n', start)
            if end < 0:
                self._keep_partial_line(data[start:])
                return
            line = self._partial_line + data[start:end]
            self._partial_line = b''
            self._check_line(line.removesuffix(b'\r'))
            start = end + 1

    def _keep_partial_line(self, data: bytes) -> None:
        self._partial_line += data
        if len(self._partial_line) > _MAX_LINE_BYTES:
            raise MalformedHeadError('a line that is too long')

    def _check_line(self, line: bytes) -> None:
        if self._section is _Section.STATUS_LINE:
            # The parser skips empty lines before the status line.
            if line:
                self._check_status_line(line)
                self._section = _Section.FIRST_FIELD
        elif not line:
            self._section = (
                _Section.STATUS_LINE if self._is_interim else _Section.BODY
            )
        else:
            self._check_field_line(line)
            self._section = _Section.FIELDS

    def _check_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise MalformedHeadError('no valid status line')
        status = int(match[1])
        self._is_interim = is_interim_status(status)
        if not self._is_interim and not is_final_status(status):
            raise MalformedHeadError('a status that no response may have')

    def _check_field_line(self, line: bytes) -> None:
        is_continuation = line[0] in _BLANKS
        if is_continuation and self._section is _Section.FIRST_FIELD:
            # RFC 9112, section 2.2. The parser takes the line for a field, or
            # for the end of the head.
            raise MalformedHeadError('a blank before the first field')
        if not is_continuation and _FIELD_NAME.match(line) is None:
            raise MalformedHeadError('an invalid field name')
        if _CONTROL_CODE.search(line) is not None:
            raise MalformedHeadError('a control code in a field')
