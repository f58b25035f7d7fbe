"""Decoding of bytes that other processes have written.

All decoders report unreadable bytes with the errors of this module's
functions. msgspec alone raises several: bytes with thousands of nested arrays
or objects raise RecursionError, which is not one of its own errors.
"""

from __future__ import annotations

import re
from contextlib import contextmanager
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import MalformedRowError

if TYPE_CHECKING:
    from collections.abc import Iterator

_T = TypeVar('_T')
# Integers that JSON implementations represent exactly (RFC 8259, section 6).
# Larger ones can't be encoded in MessagePack rows.
MAX_INTEGER = 2**53 - 1
# msgspec quotes unknown fields, and unknown values of enums and tags, and
# ends with the place in the document.
_QUOTED_VALUE = re.compile(
    r'\b(unknown field|invalid (?:enum )?value) .*?( - at `\$[^`]*`)?$',
    re.DOTALL | re.IGNORECASE,
)
BoundedInteger = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]


def _without_values(text: str) -> str:
    """Return the text of an error without the values that it quotes."""
    return _QUOTED_VALUE.sub(r'\1\2', text)


@contextmanager
def _translate_decode_errors() -> Iterator[None]:
    """Translate all errors of unreadable bytes.

    :raises MalformedDataError: the bytes are not the expected value.
    """
    try:
        yield
    except msgspec.MsgspecError as error:
        raise MalformedDataError(_without_values(str(error))) from None
    except UnicodeDecodeError as error:
        # The text of the error quotes the bytes.
        raise MalformedDataError(error.reason) from None
    except (RecursionError, ValueError, OverflowError) as error:
        raise MalformedDataError(_without_values(str(error))) from None


def decode_json(data: bytes, value_type: type[_T]) -> _T:
    """Return the value of JSON bytes.

    :raises MalformedDataError: the bytes are not JSON of this type.
    """
    with _translate_decode_errors():
        return msgspec.json.decode(data, type=value_type)


def decode_msgpack(data: bytes, value_type: type[_T]) -> _T:
    """Return the value of MessagePack bytes.

    :raises MalformedDataError: the bytes are not MessagePack of this type.
    """
    with _translate_decode_errors():
        return msgspec.msgpack.decode(data, type=value_type)


def convert_value(
    value: Any, value_type: type[_T], *, strict: bool = True
) -> _T:
    """Return a decoded value as another type.

    :param strict: whether numbers in strings are refused.
    :raises MalformedDataError: the value does not fit the type.
    """
    with _translate_decode_errors():
        return msgspec.convert(value, value_type, strict=strict)


def parse_integer(text: str) -> int:
    """Return the integer that a text states.

    :raises MalformedDataError: the text is no integer, or it is too large.
    """
    try:
        value = int(text)
    except ValueError:
        # The error of int() quotes the whole text.
        raise MalformedDataError('the text is no integer') from None
    if abs(value) > MAX_INTEGER:
        raise MalformedDataError(
            f'an integer of {len(text)} characters is out of range'
        )
    return value


@contextmanager
def _as_row_errors() -> Iterator[None]:
    """Translate unreadable bytes of a row into a failure of the store.

    :raises MalformedRowError: the bytes are not the expected value.
    """
    try:
        yield
    except MalformedDataError as error:
        raise MalformedRowError(str(error)) from error


def decode_json_row(value: bytes, value_type: type[_T]) -> _T:
    """Return the JSON value of a row that a process of the system wrote.

    :raises MalformedRowError: the row is not JSON of this type.
    """
    with _as_row_errors():
        return decode_json(value, value_type)


def decode_msgpack_row(value: bytes, value_type: type[_T]) -> _T:
    """Return the MessagePack value of a row that a process wrote.

    :raises MalformedRowError: the row is not MessagePack of this type.
    """
    with _as_row_errors():
        return decode_msgpack(value, value_type)
