"""Transactions that repeat until their outcome is known."""

from __future__ import annotations

import random

import pytest

from dogwoodpost.errors import StoreRejectedError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.rows import commit_rows
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.virtual_clock import VirtualClock

KEY = RowKey('table', '', 'key')


class RejectingStore(MemoryRowStore):
    """Refuses each transaction for its content."""

    call_count = 0

    async def commit(self, checks: object, writes: object) -> int:
        self.call_count += 1
        raise StoreRejectedError('the transaction is too large')


async def test_rejected_transaction_is_not_repeated() -> None:
    """Guards against a write that the store refuses without end."""
    store = RejectingStore()
    with pytest.raises(StoreRejectedError):
        await commit_rows(
            store,
            [RowCheck(KEY, 0)],
            [RowWrite(KEY, b'value')],
            clock=VirtualClock(),
            rng=random.Random(1),
            deadline_s=float('inf'),
        )
    assert store.call_count == 1
