"""Following a table through outages and lost history."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.process import running
from dogwoodpost.services.rows import TableFollower
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from tests.fakes.site import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import RowPage
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

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        self.contact_count += 1
        self.as_of_s = as_of_s


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


class SlowStore(MemoryRowStore):
    """Answers each call some time after it has read the rows."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0

    async def read(self, *args: Any, **options: Any) -> RowPage:
        page = await super().read(*args, **options)
        await asyncio.sleep(self.delay_s)
        return page

    async def follow(self, *args: Any, **options: Any) -> RowPage:
        page = await super().follow(*args, **options)
        await asyncio.sleep(self.delay_s)
        return page


async def test_rows_count_as_read_when_the_call_was_sent(
    sink: FakeSink,
) -> None:
    """Guards against old rows that seem to be current.

    The store may have given an answer at any time since the call was sent,
    and reads the rows of a large table one after the other.
    """
    store = SlowStore()
    for number in range(3):
        key = RowKey('t', f'partition-{number}', 'key')
        store.apply([], [RowWrite(key, b'1')])
    store.delay_s = 0.1
    clock = BoottimeClock()
    start_s = clock.monotonic_s()
    follower = TableFollower(
        store, 't', sink, clock, Metrics(), pause_s=0.01, partitioned=True
    )
    async with running(follower):
        await eventually(lambda: sink.contact_count == 1)
        assert clock.monotonic_s() - start_s >= 0.4
        assert start_s <= sink.as_of_s <= start_s + 0.1
        sent_s = clock.monotonic_s()
        store.apply([], [RowWrite(RowKey('t', 'partition-0', 'key'), b'2')])
        await eventually(lambda: sink.contact_count == 2)
        assert sink.as_of_s <= sent_s + 0.05


async def test_full_page_of_changes_may_not_be_the_last(
    store: MemoryRowStore, sink: FakeSink
) -> None:
    """Guards against rows that seem to be current while changes are left."""
    clock = BoottimeClock()
    follower = TableFollower(store, 't', sink, clock, Metrics(), pause_s=0.3)
    async with running(follower):
        await eventually(lambda: sink.contact_count == 1)
        first_as_of_s = sink.as_of_s
        for number in range(500):
            put(store, f'row-{number}', b'1')
        await eventually(lambda: len(sink.rows) == 501)
        assert sink.as_of_s == first_as_of_s
        await eventually(lambda: sink.as_of_s > first_as_of_s)
