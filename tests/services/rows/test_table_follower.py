"""Following a table through outages and lost history."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.process import running
from dogwoodpost.services.rows import TableFollower
from dogwoodpost.standins.memory_row_store import MemoryRowStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import VersionedRow


class FakeSink:
    """Keeps the current rows of the table."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.contact_count = 0

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        for row in rows:
            if row.value is None:
                self.rows.pop(row.key.key, None)
            else:
                self.rows[row.key.key] = row.value

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        self.rows.clear()
        self.apply(rows, now_s)

    def note_contact(self, now_s: float) -> None:
        self.contact_count += 1


def put(store: MemoryRowStore, key: str, value: bytes | None) -> None:
    store.apply([], [RowWrite(RowKey('t', '', key), value)])


@pytest.fixture
def store() -> MemoryRowStore:
    store = MemoryRowStore()
    put(store, 'a', b'1')
    return store


@pytest.fixture
def sink() -> FakeSink:
    return FakeSink()


@pytest.fixture
async def follower(
    store: MemoryRowStore, sink: FakeSink
) -> AsyncIterator[TableFollower]:
    follower = TableFollower(
        store, 't', sink, BoottimeClock(), Metrics(), pause_s=0.01
    )
    async with running(follower):
        await asyncio.sleep(0.05)
        yield follower


@pytest.mark.usefixtures('follower')
async def test_changes_and_deletions_arrive(
    store: MemoryRowStore, sink: FakeSink
) -> None:
    """Guards against changes that the follower misses."""
    assert sink.rows == {'a': b'1'}
    put(store, 'b', b'2')
    put(store, 'a', None)
    await asyncio.sleep(0.1)
    assert sink.rows == {'b': b'2'}


@pytest.mark.usefixtures('follower')
async def test_table_is_read_again_after_lost_history(
    store: MemoryRowStore, sink: FakeSink
) -> None:
    """Guards against missed changes if the feed loses its history."""
    store.is_down = True
    # Completes the pending read of the feed.
    put(store, 'c', b'3')
    await asyncio.sleep(0.1)
    put(store, 'a', None)
    store.forget_history()
    contact_count_before = sink.contact_count
    await asyncio.sleep(0.2)
    assert sink.contact_count == contact_count_before
    store.is_down = False
    await asyncio.sleep(0.5)
    assert sink.rows == {'c': b'3'}
