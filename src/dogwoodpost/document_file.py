"""Reads documents from files within bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from dogwoodpost.core.configuration.checks import MAX_DOCUMENT_BYTES
from dogwoodpost.core.findings import Finding
from dogwoodpost.errors import DocumentError
from dogwoodpost.errors import InvalidInputError

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

_T = TypeVar('_T')


def read_document(path: Path, read: Callable[[bytes], _T]) -> _T:
    """Return what a file holds.

    :param read: decodes the bytes.

    :raises InvalidInputError: the file or its content can't be read; states
        the line and column.
    """
    try:
        with path.open('rb') as file:
            # One byte more tells that the document is too large.
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        finding = Finding(str(path), str(error), 'a readable file')
        raise InvalidInputError([finding]) from None
    return read_bytes(str(path), data, read)


def read_bytes(name: str, data: bytes, read: Callable[[bytes], _T]) -> _T:
    """Return what bytes hold.

    :param name: what the bytes are, for the error message.

    :raises InvalidInputError: the content can't be read.
    """
    try:
        return read(data)
    except DocumentError as error:
        place = f'{name}:{error.line}:{error.column}'
        finding = Finding(place, error.found, error.expected)
        raise InvalidInputError([finding]) from None
