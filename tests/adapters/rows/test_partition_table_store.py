"""Tests of the table store on the row store."""

from __future__ import annotations

import pytest

from dogwoodpost.adapters.rows import PartitionTableStore
from dogwoodpost.core import ids
from dogwoodpost.core.usage import OPEN_WINDOWS_KEY
from dogwoodpost.core.usage import part_prefix
from dogwoodpost.core.usage import REPORTED_WINDOWS_KEY
from dogwoodpost.ports.table_store import Write
from dogwoodpost.standins.memory_row_store import MemoryRowStore

# The store returns 500 rows at a time.
ROW_COUNT = 1_203


@pytest.fixture
async def store() -> PartitionTableStore:
    store = PartitionTableStore(MemoryRowStore(), 'control')
    prefix = part_prefix(ids.UsageWindow(7))
    keys = [f'{prefix}{number:05d}' for number in range(ROW_COUNT)]
    keys += ['a', 'z', OPEN_WINDOWS_KEY, REPORTED_WINDOWS_KEY]
    writes = [Write(key, key.encode()) for key in keys]
    await store.commit(ids.OperationId('fill'), [], writes)
    return store


async def test_rows_far_apart_are_found(store: PartitionTableStore) -> None:
    """Guards against missing rows when many others lie in between.

    With the usage parts of 500 processes between the two rows, no usage
    window appeared to be reported.
    """
    rows = await store.read(['a', 'z', 'missing'])
    assert {key: row.value for key, row in rows.items()} == {
        'a': b'a',
        'z': b'z',
    }


@pytest.mark.parametrize('limit', [1, 500, 501, 1_000, 2_000])
async def test_scans_return_as_many_rows_as_asked_for(
    store: PartitionTableStore, limit: int
) -> None:
    """Guards against omitting the usage of some processes."""
    prefix = part_prefix(ids.UsageWindow(7))
    rows = await store.scan(prefix, limit=limit)
    assert len(rows) == min(limit, ROW_COUNT)
    rest = await store.scan(prefix, after=rows[-1].key, limit=ROW_COUNT)
    assert len(rows) + len(rest) == ROW_COUNT


async def test_windows_are_read_without_the_parts() -> None:
    """Guards against reads that slow down with the number of processes."""
    keys = sorted(
        [OPEN_WINDOWS_KEY, REPORTED_WINDOWS_KEY]
        + [f'{part_prefix(ids.UsageWindow(7))}p']
    )
    ends = [keys.index(OPEN_WINDOWS_KEY), keys.index(REPORTED_WINDOWS_KEY)]
    assert abs(ends[0] - ends[1]) == 1
