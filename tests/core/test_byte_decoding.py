"""Decoding of bytes that other processes have written."""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import Literal
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies

from dogwoodpost.core.decoding import convert_value
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.core.decoding import decode_msgpack
from dogwoodpost.core.decoding import decode_msgpack_row
from dogwoodpost.core.decoding import MAX_INTEGER
from dogwoodpost.core.decoding import parse_integer
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import MalformedRowError

if TYPE_CHECKING:
    from collections.abc import Callable

DEPTH = 3_000
QUOTED = 'bytes of the peer'
DECODERS = (decode_json, decode_msgpack)


class Document(msgspec.Struct):
    """Values in known fields of several types; other fields are ignored."""

    count: int = 0
    name: str = ''
    value: bytes = b''
    content: Any = None


@pytest.mark.parametrize('is_closed', [False, True])
@pytest.mark.parametrize('field', [b'content', b'unknown'])
@pytest.mark.parametrize(
    ('opening', 'closing'), [(b'[', b']'), (b'{"a":', b'}')]
)
def test_deeply_nested_json_is_malformed(
    opening: bytes, closing: bytes, field: bytes, is_closed: bool
) -> None:
    """Guards against a RecursionError that ends the process."""
    inner = opening * DEPTH
    if is_closed:
        inner += b'1' + closing * DEPTH
    with pytest.raises(MalformedDataError):
        decode_json(b'{"%s": %s}' % (field, inner), Document)


@pytest.mark.parametrize('field', [b'\xa7content', b'\xa7unknown'])
def test_deeply_nested_msgpack_is_malformed(field: bytes) -> None:
    """Guards against a RecursionError that ends the process."""
    with pytest.raises(MalformedDataError):
        decode_msgpack(b'\x81' + field + b'\x91' * DEPTH + b'\x00', Document)


@given(strategies.binary(max_size=200), strategies.sampled_from(DECODERS))
def test_any_bytes_are_decoded_or_malformed(
    data: bytes, decode: Callable[[bytes, type[Document]], Document]
) -> None:
    """Guards against errors of bytes that no caller expects."""
    try:
        assert isinstance(decode(data, Document), Document)
    except MalformedDataError:
        pass


@pytest.mark.parametrize(
    'data',
    [
        b'{"count": %s}' % (b'9' * 5_000),
        b'{"count": 1e400}',
        b'{"name": "\xff"}',
        b'{"name": "\\ud800"}',
        b'{"value": "*"}',
        b'{"count": NaN}',
        b'',
    ],
)
def test_odd_values_are_malformed(data: bytes) -> None:
    """Guards against numbers and texts that raise other errors."""
    with pytest.raises(MalformedDataError):
        decode_json(data, Document)


class Kind(Enum):
    """Values that a document may have."""

    SMALL = 'small'


class StrictDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A document whose errors msgspec describes with its values."""

    kind: Kind = Kind.SMALL
    level: Literal[1, 2] = 1
    count: int = 0
    name: str = ''


@given(
    field=strategies.sampled_from(['kind', 'level', 'count', 'name', QUOTED]),
    value=strategies.sampled_from(
        [QUOTED, f"it's {QUOTED}", f'`{QUOTED}`', 424_242, [QUOTED], None]
    ),
    decode=strategies.sampled_from(DECODERS),
)
def test_errors_do_not_quote_the_document(
    field: str, value: object, decode: Callable[..., object]
) -> None:
    """Guards against errors that pass on what another process sent."""
    encoder = msgspec.json if decode is decode_json else msgspec.msgpack
    data = encoder.encode({field: value})
    try:
        decode(data, StrictDocument)
    except MalformedDataError as error:
        assert QUOTED not in str(error)
        assert '424242' not in str(error)
        assert error.__cause__ is None


def test_unreadable_rows_count_as_store_failures() -> None:
    """Guards against a row that ends a duty instead of being retried."""
    with pytest.raises(MalformedRowError):
        decode_json_row(b'[' * DEPTH, dict[str, Any])
    with pytest.raises(MalformedRowError):
        decode_msgpack_row(b'\x91' * DEPTH, list[Any])


def test_converted_values_are_checked() -> None:
    """Guards against a nested value that fails after its decoding."""
    with pytest.raises(MalformedDataError):
        convert_value({'count': []}, Document)


@pytest.mark.parametrize('text', ['', 'x', '9' * 400, '9' * 5_000, '-1e9'])
def test_integers_that_rows_cannot_hold_are_refused(text: str) -> None:
    """Guards against versions that fail later, when a result is stored."""
    with pytest.raises(MalformedDataError):
        parse_integer(text)
    assert parse_integer(str(MAX_INTEGER)) == MAX_INTEGER
