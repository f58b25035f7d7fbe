"""Row keys, chunks and encoding of stored batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.decoding import decode_msgpack_row
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.row_store import VersionedRow

# Heads have a separate table so that its change feed stays small.
HEAD_TABLE = 'job_heads'
DATA_TABLE = 'job_data'
# One partition for each group, across all jobs that contain the group.
TEXT_TABLE = 'group_texts'
HEAD_KEY = 'head'
SPEC_PREFIX = 'spec'
RESULT_PREFIX = 'result'
# Below the store's row limit of 65,536 bytes.
MAX_CHUNK_BYTES = 60_000
# Marks the last chunk of a value, in the chunk's key.
_LAST_CHUNK_MARK = 'z'

_T = TypeVar('_T')


def head_key(job_id: ids.JobId) -> RowKey:
    """Return the key of a job's head."""
    return RowKey(HEAD_TABLE, job_id, HEAD_KEY)


def head_write(job_id: ids.JobId, head: JobHead) -> RowWrite:
    """Return the write of a job's head."""
    return RowWrite(head_key(job_id), msgspec.msgpack.encode(head))


def decode_head(value: bytes) -> JobHead:
    """Return the head encoded in a row's value.

    :raises MalformedRowError: the value is not an encoded head.
    """
    return decode_msgpack_row(value, JobHead)


def result_prefix(position: int) -> str:
    """Return the prefix of a result's row keys, which sort by position."""
    return f'{RESULT_PREFIX}/{position:08d}'


def result_writes(
    job_id: ids.JobId, position: int, result: ItemResult
) -> list[RowWrite]:
    """Return the writes of a result's rows."""
    return chunk_writes(job_id, result_prefix(position), result)


def chunk_writes(
    partition: str,
    prefix: str,
    value: msgspec.Struct,
    table: str = DATA_TABLE,
) -> list[RowWrite]:
    """Return the writes of an encoded value, split by the row limit."""
    data = msgspec.msgpack.encode(value)
    starts = range(0, max(len(data), 1), MAX_CHUNK_BYTES)
    writes = []
    for number, start in enumerate(starts):
        end = start + MAX_CHUNK_BYTES
        mark = _LAST_CHUNK_MARK if end >= len(data) else ''
        key = RowKey(table, partition, f'{prefix}/{number:04d}{mark}')
        writes.append(RowWrite(key, data[start:end]))
    return writes


def joined_values(
    rows: Iterable[VersionedRow], value_type: type[_T]
) -> Iterator[_T]:
    """Yield the values of consecutive chunk rows.

    A value at the end whose last chunk is missing is omitted.
    """
    parts: list[bytes] = []
    for row in rows:
        parts.append(row.value or b'')
        if row.key.key.endswith(_LAST_CHUNK_MARK):
            yield decode_msgpack_row(b''.join(parts), value_type)
            parts.clear()
