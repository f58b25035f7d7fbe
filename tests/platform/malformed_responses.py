"""Responses whose heads no endpoint may send, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from tests.platform.platform_site import EVENT_COUNT

if TYPE_CHECKING:
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

# Bytes of an endpoint that must not reach a client, an error or a log line.
MARK = 'upstream'
SOUND_BODY = b'whole'
_BODY = f'8\r\n{MARK}\r\n0\r\n\r\n'.encode()


class MalformedHead(msgspec.Struct, frozen=True, kw_only=True):
    """A response with a malformed head.

    It states a signature of its own, which is the score of a scoring call.

    :param lines: header lines.
    """

    status: str = '200 OK'
    lines: tuple[str, ...] = ()

    async def write(self, response: RawResponse) -> None:
        """Write the response; the connection stays open."""
        await response.write_lines(
            f'HTTP/1.1 {self.status}',
            *self.lines,
            f'X-Mark: {MARK}',
            f'X-Response-Signature: {MARK}',
        )
        await response.write(_BODY)


# Numbers that are no status of a final response.
STATUSES = {
    f'status_{status}': MalformedHead(
        status=f'{status} {MARK}', lines=('Transfer-Encoding: chunked',)
    )
    for status in (
        *('000', '001', '010', '099', '101', '600', '999'),
        *('0', '20', '0200', '+200', '2x0', ''),
    )
}

# Names that the parser treats itself, and others.
NAMES_BEFORE_BLANKS = {
    f'blank_after_{line}': MalformedHead(lines=(line,))
    for line in (
        'Transfer-Encoding : chunked',
        'Transfer-Encoding  : chunked',
        'Content-Length : 3',
        'Connection : close',
        'Proxy-Connection : close',
        'Upgrade : odd',
        'X-Odd : a',
        'X Odd: a',
    )
}
CONTROL_BYTES = [chr(code) for code in (*range(0x20), 0x7F)]
# A line feed or a tab at the beginning of a line is no part of a name.
NAMES_WITH_CONTROL_BYTES = {
    f'name_{name!a}': MalformedHead(lines=('X-First: a', f'{name}: a'))
    for control in CONTROL_BYTES
    for name in (f'{control}X-Odd', f'X-{control}Odd', f'X-Odd{control}')
    if name[0] not in '\n\t'
}
VALUES_WITH_CONTROL_BYTES = {
    f'value_{control!a}': MalformedHead(
        lines=(f'X-Odd: a{control}b', 'Transfer-Encoding: chunked')
    )
    for control in CONTROL_BYTES
    # A line feed ends the line, and a tab may stand in a value.
    if control not in '\n\t'
}
# A line of blanks alone ends the head for some readers.
BLANKS_FIRST = {
    f'first_{line!a}': MalformedHead(
        lines=(line, 'Transfer-Encoding: chunked')
    )
    for line in (' X-Odd: a', '\tX-Odd: a', '  X-Odd: a', ' ', '\t', ' : a')
}
TRANSFER_CODINGS = {
    f'coding_{line!a}': MalformedHead(lines=(line,))
    for line in (
        'Transfer-Encoding: odd',
        'Transfer-Encoding: identity',
        'Transfer-Encoding: chunked, odd',
        'Transfer-Encoding: odd, chunked',
        'Transfer-Encoding: xchunked',
        'Transfer-Encoding: chunked;a=b',
        'Transfer-Encoding:',
        'Transfer-Encoding: chunked\r\n ',
        'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
        'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
        'Transfer-Encoding: chunked\r\nTransfer-Encoding: odd',
    )
}
HEADS = {
    **STATUSES,
    **NAMES_BEFORE_BLANKS,
    **NAMES_WITH_CONTROL_BYTES,
    **VALUES_WITH_CONTROL_BYTES,
    **BLANKS_FIRST,
    **TRANSFER_CODINGS,
}


class MalformedResponses:
    """Answers with a malformed head as often as asked, then soundly."""

    def __init__(self, head: MalformedHead, *, is_stream: bool) -> None:
        self.head = head
        self._is_stream = is_stream
        self.malformed_left = 0

    async def answer(self, request: RawRequest, response: RawResponse) -> None:
        if self.malformed_left:
            self.malformed_left -= 1
            await self.head.write(response)
        elif self._is_stream:
            await response.write_stream(EVENT_COUNT)
        else:
            await response.write_response(SOUND_BODY)
