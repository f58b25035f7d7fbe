"""Tests that the in-memory stores meet their port contracts under faults."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore

FIRST = ids.OperationId('first')
SECOND = ids.OperationId('second')


@pytest.mark.parametrize(
    ('fault', 'applied'),
    [('lost_request_count', False), ('lost_response_count', True)],
)
async def test_repeat_resolves_a_lost_response(
    fault: str, applied: bool
) -> None:
    """Guards against a repeat that applies a transaction twice."""
    store = MemoryTableStore()
    setattr(store.faults, fault, 1)
    writes = [Write('a', b'1')]
    with pytest.raises(StoreOutcomeUnknownError):
        await store.commit(FIRST, [Check('a', 0)], writes)
    assert ('a' in store.rows) == applied
    versions = await store.commit(FIRST, [Check('a', 0)], writes)
    assert versions == {'a': store.rows['a'].version}
    assert await store.commit(FIRST, [Check('a', 0)], writes) == versions


async def test_failed_check_changes_nothing() -> None:
    """Guards against a transaction that is applied in part."""
    store = MemoryTableStore()
    first = await store.commit(FIRST, [], [Write('a', b'1')])
    with pytest.raises(StoreConflictError) as caught:
        await store.commit(
            SECOND, [Check('a', 0)], [Write('b', b'2'), Write('a', b'2')]
        )
    assert caught.value.keys == ('a',)
    assert [row.key for row in await store.scan('')] == ['a']
    await store.commit(ids.OperationId('third'), [], [Write('a', None)])
    again = await store.commit(
        ids.OperationId('fourth'), [Check('a', 0)], [Write('a', b'3')]
    )
    assert again['a'] > first['a']


async def test_scan_pages_in_key_order() -> None:
    """Guards against pages that overlap or skip rows."""
    store = MemoryTableStore()
    writes = [Write(f'p/{n}', b'') for n in (3, 1, 2)]
    await store.commit(FIRST, [], [*writes, Write('q', b'')])
    page = await store.scan('p/', limit=2)
    rest = await store.scan('p/', after=page[-1].key, limit=2)
    assert [row.key for row in page + rest] == ['p/1', 'p/2', 'p/3']


async def test_every_call_fails_during_an_outage() -> None:
    """Guards against an outage during which some calls succeed."""
    table = MemoryTableStore()
    objects = MemoryObjectStore(table.faults)
    table.faults.down = True
    for call in (
        table.read(['a']),
        table.scan(''),
        table.commit(FIRST, [], [Write('a', b'')]),
        objects.put('o', b''),
        objects.get('o'),
        objects.delete('o'),
    ):
        with pytest.raises(StoreUnavailableError):
            await call
    table.faults.down = False
    assert await table.read(['a']) == {}


@pytest.mark.parametrize(
    ('fault', 'stored'),
    [('lost_request_count', None), ('lost_response_count', b'1')],
)
async def test_object_write_may_be_repeated(
    fault: str, stored: bytes | None
) -> None:
    """Guards against a lost response after which the object is missing."""
    store = MemoryObjectStore()
    setattr(store.faults, fault, 1)
    with pytest.raises(StoreUnavailableError):
        await store.put('o', b'1')
    assert await store.get('o') == stored
    await store.put('o', b'1')
    assert await store.get('o') == b'1'
