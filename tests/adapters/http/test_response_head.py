"""Validation of response heads."""

from __future__ import annotations

import asyncio
import re

import hypothesis
import pytest
from aiohttp.http_exceptions import HttpProcessingError
from hypothesis import strategies as st

from dogwoodpost.adapters.http.bounded_protocol import BoundedResponseHandler
from dogwoodpost.adapters.http.response_head import MalformedHeadError
from dogwoodpost.adapters.http.response_head import ResponseHeadValidator

HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
BODY = b'HTTP/9.9 000\r\n not : a head\r\n\r\n'
SOUND_HEADS = {
    'no_fields': b'HTTP/1.1 200 OK\r\n\r\n',
    'no_reason': b'HTTP/1.1 200\r\n\r\n',
    'old_version': b'HTTP/1.0 599 X\r\n\r\n',
    'bare_line_feeds': b'HTTP/1.1 200 OK\nX-A: a\n\n',
    'empty_lines_first': b'\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
    'interim': HINTS * 3 + b'HTTP/1.1 200 OK\r\nX-A: a\r\n\r\n',
    'tabs_and_other_bytes': b'HTTP/1.1 200 \xff\r\nX-A:\ta\t\xe9\r\n\r\n',
    'folded_value': b'HTTP/1.1 200 OK\r\nX-A: a\r\n b : c\r\n\td\r\n\r\n',
}
STATUS_LINES = (
    *(b'HTTP/1.1 000 ', b'HTTP/1.1 099 X', b'HTTP/1.1 101 X'),
    *(b'HTTP/1.1 600 X', b'HTTP/1.1 999 X', b'HTTP/1.1 0200 X'),
    *(b'HTTP/1.1 20 X', b'HTTP/1.1 2x0 X', b'HTTP/1.1  200 X'),
    *(b'HTTP/1.1 +20 X', b'HTTP/1.1', b'HTTP/1.1 '),
    *(b'HTTP/2.0 200 OK', b'HTTP/0.9 200 OK', b'RTSP/1.0 200 OK'),
    *(b'ICE/1.1 200 OK', b' HTTP/1.1 200 OK', b'x'),
)
FIELD_LINES = (
    *(b'Transfer-Encoding : chunked', b'Content-Length : 3', b'X A: a'),
    *(b'Connection\t: close', b'X-A', b': a', b'X-\x00A: a', b'X-A\x7f: a'),
    *(b'X-\xe9: a', b'X-(: a', b'X-A\r: a', b'X-A: a\x00'),
    *(b'X-A: a\rb', b'X-A: a\r\n \x1f', b'X-A:\x7f'),
)
FIRST_LINES = (b' X-A: a', b'\tX-A: a', b' ', b' \t ', b'  X-A: a')
MALFORMED_HEADS = {
    **{repr(line): line + b'\r\nX-A: a\r\n\r\n' for line in STATUS_LINES},
    **{
        repr(line): b'HTTP/1.1 200 OK\r\nX-A: a\r\n' + line + b'\r\n\r\n'
        for line in FIELD_LINES
    },
    **{
        f'{line!r} first': b'HTTP/1.1 200 OK\r\n' + line + b'\r\n\r\n'
        for line in FIRST_LINES
    },
}


def split(data: bytes, size_bytes: int) -> list[bytes]:
    starts = range(0, len(data), size_bytes)
    return [data[start : start + size_bytes] for start in starts]


@pytest.mark.parametrize('size_bytes', [1, 2, 7, 1_000])
@pytest.mark.parametrize('name', SOUND_HEADS)
def test_sound_heads_and_any_bodies_are_accepted(
    name: str, size_bytes: int
) -> None:
    """Guards against refused responses, and against checks of bodies."""
    validator = ResponseHeadValidator()
    for part in split(SOUND_HEADS[name] + BODY, size_bytes):
        validator.feed(part)


@pytest.mark.parametrize('before', [b'', HINTS, b'\r\n'])
@pytest.mark.parametrize('size_bytes', [1, 2, 7, 1_000])
@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_malformed_heads_are_rejected(
    name: str, size_bytes: int, before: bytes
) -> None:
    """Guards against heads that pass because of where reads end."""
    validator = ResponseHeadValidator()
    with pytest.raises(MalformedHeadError):
        for part in split(before + MALFORMED_HEADS[name], size_bytes):
            validator.feed(part)


@pytest.mark.parametrize('size_bytes', [1, 7, 1_000])
@pytest.mark.parametrize('name', MALFORMED_HEADS)
async def test_malformed_head_fails_the_call(
    name: str, size_bytes: int
) -> None:
    """Guards against messages that pass before their head is rejected.

    Bytes may also arrive before the request that they seem to answer.
    """
    for is_early in (False, True):
        protocol = BoundedResponseHandler(asyncio.get_running_loop())
        if not is_early:
            protocol.set_response_params(read_until_eof=True)
        for part in split(HINTS + MALFORMED_HEADS[name], size_bytes):
            protocol.data_received(part)
        if is_early:
            protocol.set_response_params(read_until_eof=True)
        with pytest.raises(MalformedHeadError):
            while (await protocol.read())[0].code == 103:
                pass
        assert protocol.should_close


@pytest.mark.parametrize('byte', [b'\r', b' ', b'a'])
@pytest.mark.parametrize('before', [b'', b'HTTP/1.1 200 OK\r\nX-A: '])
def test_endless_line_is_rejected(before: bytes, byte: bytes) -> None:
    """Guards against lines that fill the memory; the parser skips some."""
    validator = ResponseHeadValidator()
    validator.feed(before)
    with pytest.raises(MalformedHeadError):
        for _ in range(100):
            validator.feed(byte * 1_000)


def hidden_response(interim: str, final: str) -> bytes:
    """Return an interim response whose body is a whole response."""
    hidden = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n'
    length = f'Content-Length: {len(hidden) + 6}'
    head = f'HTTP/1.1 {interim}\r\n{length}\r\n\r\n'
    return head.encode() + hidden + b'hidden' + final.encode()


@pytest.mark.parametrize('status', ['100', '102', '103', '104', '199'])
async def test_interim_response_with_a_body_fails_the_call(
    status: str,
) -> None:
    """Guards against responses that some readers take for a body."""
    final = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal'
    protocol = BoundedResponseHandler(asyncio.get_running_loop())
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(hidden_response(f'{status} X', final))
    with pytest.raises(MalformedHeadError):
        await protocol.read()


async def test_interim_response_may_state_a_length_of_zero() -> None:
    """Guards against refused responses that no reader takes otherwise."""
    protocol = BoundedResponseHandler(asyncio.get_running_loop())
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(
        b'HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n'
        + SOUND_HEADS['no_fields']
    )
    assert (await protocol.read())[0].code == 100
    assert (await protocol.read())[0].code == 200


LINES = st.tuples(
    st.sampled_from([b'', b'', b' ', b'\t']),
    st.sampled_from([b'X-A', b'Connection', b'Upgrade', b'X\x00', b'']),
    st.sampled_from([b': ', b': ', b':', b' :', b'']),
    st.sampled_from([b'a', b'close', b'a: b', b'\x0b', b'\xe9', b' ', b'']),
    st.sampled_from([b'\r\n', b'\r\n', b'\n', b'\r', b'\r\r\n']),
).map(b''.join)


def read_fields(head: bytes) -> list[tuple[bytes, bytes]]:
    """Return the fields of a head as RFC 9112 reads them."""
    fields: list[tuple[bytes, bytes]] = []
    for line in head.replace(b'\r\n', b'\n').split(b'\n')[1:]:
        if line[:1] in {b' ', b'\t'}:
            name, value = fields[-1]
            fields[-1] = (name, value + line)
        elif line:
            name, _, value = line.partition(b':')
            fields.append((name, value))
    return [(name, b''.join(value.split())) for name, value in fields]


@hypothesis.given(st.lists(LINES, max_size=5).map(b''.join))
async def test_accepted_fields_are_those_of_the_head(lines: bytes) -> None:
    """Guards against parsers that lose, join or invent parts of a head."""
    head = b'HTTP/1.1 200 OK\r\n' + lines
    protocol = BoundedResponseHandler(asyncio.get_running_loop())
    protocol.set_response_params(read_until_eof=True)
    protocol.data_received(head + b'\r\n\r\n')
    try:
        message, _ = await protocol.read()
    except (MalformedHeadError, HttpProcessingError):
        return
    end = re.search(rb'\n\r?\n', head + b'\r\n\r\n')
    assert end is not None
    accepted = [
        (name, b''.join(value.split())) for name, value in message.raw_headers
    ]
    assert message.code == 200
    assert accepted == read_fields(head[: end.start()])
