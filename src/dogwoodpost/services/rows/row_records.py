"""Encoding of the records that processes store in rows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import structlog

from dogwoodpost.core.decoding import decode_msgpack
from dogwoodpost.errors import MalformedDataError

if TYPE_CHECKING:
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
_Record = TypeVar('_Record')


def encode_record(record: msgspec.Struct) -> bytes:
    """Return a record in MessagePack, as the value of a row."""
    return msgspec.msgpack.encode(record)


def decode_record(
    row: VersionedRow, record_type: type[_Record]
) -> _Record | None:
    """Return the record of a row, None if it is deleted or unreadable.

    Unreadable rows are logged: another version of the program may have
    written them.
    """
    if row.value is None:
        return None
    try:
        return decode_msgpack(row.value, record_type)
    except MalformedDataError as error:
        _log.warning(
            'row_unreadable',
            table=row.key.table,
            partition=row.key.partition,
            key=row.key.key,
            version=row.version,
            error=str(error),
        )
        return None
