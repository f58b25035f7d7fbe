"""Records that processes of the system write to rows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
import structlog

if TYPE_CHECKING:
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
_Record = TypeVar('_Record')


def encode_record(record: msgspec.Struct) -> bytes:
    """Return the value of a row."""
    return msgspec.msgpack.encode(record)


def decode_record(
    row: VersionedRow, record_type: type[_Record]
) -> _Record | None:
    """Return a row's record, None without one that can be read.

    Another version of the program may have written the row.
    """
    if row.value is None:
        return None
    try:
        return msgspec.msgpack.decode(row.value, type=record_type)
    except msgspec.MsgspecError as error:
        _log.warning(
            'row_unreadable',
            table=row.key.table,
            partition=row.key.partition,
            key=row.key.key,
            version=row.version,
            error=str(error),
        )
        return None
