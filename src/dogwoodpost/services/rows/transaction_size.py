"""Sizes of row transactions as the store counts them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.ports.row_store import RowKey
    from dogwoodpost.ports.row_store import RowWrite

# The store accepts 100 entries in a transaction, and 1 MB of JSON in which
# values are encoded in Base64. The rest of it is left for the fields that a
# read adds to the same rows, so that one read returns them all.
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 900_000
# Names of the fields, quotation marks and the number of a version.
_ENTRY_OVERHEAD_BYTES = 100


class TransactionSize(msgspec.Struct, frozen=True):
    """Size of the writes of a transaction.

    :param entry_count: number of rows.
    :param size_bytes: upper bound of their size in JSON.
    """

    entry_count: int = 0
    size_bytes: int = 0

    def plus(self, writes: Iterable[RowWrite]) -> TransactionSize:
        """Return the size with more writes."""
        sizes = [_write_size_bytes(write) for write in writes]
        return TransactionSize(
            self.entry_count + len(sizes), self.size_bytes + sum(sizes)
        )

    def is_allowed(self, *, check_count: int = 0) -> bool:
        """Return whether the store accepts a transaction of this size.

        :param check_count: number of checked rows, whose keys are short.
        """
        return (
            self.entry_count + check_count <= MAX_TRANSACTION_ENTRIES
            and self.size_bytes + check_count * _ENTRY_OVERHEAD_BYTES
            <= MAX_TRANSACTION_BYTES
        )


def _write_size_bytes(write: RowWrite) -> int:
    value_bytes = len(write.value or b'')
    encoded_bytes = (value_bytes + 2) // 3 * 4
    return _ENTRY_OVERHEAD_BYTES + _key_size_bytes(write.key) + encoded_bytes


def _key_size_bytes(key: RowKey) -> int:
    names = (key.table, key.partition, key.key)
    return sum(len(msgspec.json.encode(name)) for name in names)
