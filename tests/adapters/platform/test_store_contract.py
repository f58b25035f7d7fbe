"""Contract tests of the store ports, in memory and over HTTP.

Each case runs against the in-memory store and against the HTTP adapter with
its stand-in, with the same faults.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest
from aiohttp import web

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.adapters.platform.host_list import HttpHostList
from dogwoodpost.adapters.platform.object_store import HttpObjectStore
from dogwoodpost.adapters.platform.retrying_table_store import (
    RetryingTableStore,
)
from dogwoodpost.adapters.platform.table_store import HttpTableStore
from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.host_list import HostList
from dogwoodpost.ports.host_list import HostState
from dogwoodpost.ports.host_list import ListedHost
from dogwoodpost.ports.object_store import ObjectStore
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Row
from dogwoodpost.ports.table_store import TableStore
from dogwoodpost.ports.table_store import Write
from dogwoodpost.standins import host_list
from dogwoodpost.standins import platform_store
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

FIRST, SECOND = ids.OperationId('first'), ids.OperationId('second')
HOST = ListedHost(
    host_id=ids.HostId('host-1'),
    availability_zone=ids.AvailabilityZone('r-a'),
    state=HostState.LEAVING,
)


class Stores(msgspec.Struct):
    """Both stores and the host list, with their shared faults."""

    tables: TableStore
    objects: ObjectStore
    hosts: HostList
    faults: StoreFaults
    listed: host_list.MemoryHostList


async def serve(app: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    return runner, f'http://127.0.0.1:{runner.addresses[0][1]}/'


@pytest.fixture(params=['memory', 'http'])
async def stores(request: pytest.FixtureRequest) -> AsyncIterator[Stores]:
    faults = StoreFaults()
    listed = host_list.MemoryHostList()
    if request.param == 'memory':
        tables, objects = MemoryTableStore(faults), MemoryObjectStore(faults)
        yield Stores(tables, objects, listed, faults, listed)
        return
    store_runner, store_url = await serve(platform_store.create_app(faults))
    hosts_runner, hosts_url = await serve(host_list.create_app(listed))
    async with aiohttp.ClientSession() as session:
        yield Stores(
            HttpTableStore(session, store_url),
            HttpObjectStore(session, store_url),
            HttpHostList(session, hosts_url),
            faults,
            listed,
        )
    await store_runner.cleanup()
    await hosts_runner.cleanup()


async def test_rows_and_checks(stores: Stores) -> None:
    """Guards against values or versions that change in transit."""
    tables = stores.tables
    value = bytes(range(256))
    writes = [Write('p/1', value), Write('p/2', b''), Write('q', b'x')]
    versions = await tables.commit(FIRST, [Check('p/1', 0)], writes)
    rows = await tables.read(['p/1', 'p/2', 'none'])
    assert rows == {
        'p/1': Row('p/1', value, versions['p/1']),
        'p/2': Row('p/2', b'', versions['p/2']),
    }
    with pytest.raises(StoreConflictError) as caught:
        await tables.commit(SECOND, [Check('p/1', 0)], [Write('z', b'')])
    assert caught.value.keys == ('p/1',)
    check = Check('p/1', versions['p/1'])
    await tables.commit(SECOND, [check], [Write('p/1', None)])
    assert [row.key for row in await tables.scan('p/')] == ['p/2']
    assert [row.key for row in await tables.scan('', limit=1)] == ['p/2']
    assert [row.key for row in await tables.scan('', after='p/2')] == ['q']


FAULTS: dict[str, tuple[type[StoreError], bool]] = {
    'down': (StoreUnavailableError, False),
    'lost_request_count': (StoreOutcomeUnknownError, False),
    'lost_response_count': (StoreOutcomeUnknownError, True),
}


@pytest.mark.parametrize('fault', FAULTS)
async def test_a_failed_commit_is_typed_and_repeatable(
    stores: Stores, fault: str
) -> None:
    """Guards against a lost response that is reported as a refusal."""
    error, applied = FAULTS[fault]
    setattr(stores.faults, fault, 1)
    writes = [Write('a', b'1')]
    with pytest.raises(error) as caught:
        await stores.tables.commit(FIRST, [Check('a', 0)], writes)
    assert caught.type is error
    stores.faults.down = False
    assert bool(await stores.tables.read(['a'])) is applied
    first = await stores.tables.commit(FIRST, [Check('a', 0)], writes)
    assert first == await stores.tables.commit(FIRST, [Check('a', 0)], writes)
    rows = await stores.tables.read(['a'])
    assert rows['a'].version == first['a']


async def test_reads_during_an_outage(stores: Stores) -> None:
    """Guards against an outage that looks like an empty store."""
    stores.faults.down = True
    stores.listed.down = True
    for call in (
        stores.tables.read(['a']),
        stores.tables.scan(''),
        stores.objects.get('o'),
        stores.objects.put('o', b''),
        stores.objects.delete('o'),
    ):
        with pytest.raises(StoreUnavailableError):
            await call
    with pytest.raises(PlatformError):
        await stores.hosts.hosts()


async def test_objects_and_hosts(stores: Stores) -> None:
    """Guards against names or bytes that change in transit."""
    name, data = 'config/snapshot/1 é%?', bytes(range(256))
    assert await stores.objects.get(name) is None
    for _ in range(2):
        await stores.objects.put(name, data)
    assert await stores.objects.get(name) == data
    for _ in range(2):
        await stores.objects.delete(name)
    assert await stores.objects.get(name) is None
    stores.listed.listed = {HOST.host_id: HOST}
    assert list(await stores.hosts.hosts()) == [HOST]


@pytest.mark.parametrize(
    'fault', ['lost_request_count', 'lost_response_count']
)
async def test_the_retrying_store_resolves_lost_responses(
    stores: Stores, fault: str
) -> None:
    """Guards against a retry under a new operation id."""
    setattr(stores.faults, fault, 3)
    tables = RetryingTableStore(
        stores.tables, BoottimeClock(), random.Random(1)
    )
    versions = await tables.commit(FIRST, [Check('a', 0)], [Write('a', b'')])
    assert versions['a'] == (await tables.read(['a']))['a'].version


@pytest.mark.parametrize('outcome_known', [True, False])
async def test_the_retrying_store_remembers_a_lost_response(
    stores: Stores, outcome_known: bool
) -> None:
    """Guards against reporting no change after a lost response."""
    stores.faults.lost_response_count = 0 if outcome_known else 1

    class LosesThenRefuses(MemoryTableStore):
        async def commit(self, *arguments: object) -> dict[str, int]:
            try:
                return await stores.tables.commit(*arguments)  # type: ignore
            finally:
                stores.faults.down = True

    tables = RetryingTableStore(
        LosesThenRefuses(), BoottimeClock(), random.Random(1), limit_s=0.2
    )
    stores.faults.down = outcome_known
    error = (
        StoreUnavailableError if outcome_known else StoreOutcomeUnknownError
    )
    with pytest.raises(StoreError) as caught:
        await tables.commit(FIRST, [], [Write('a', b'')])
    assert caught.type is error


BAD_ANSWERS: dict[str, tuple[int, bytes, type[StoreError]]] = {
    'gateway time-out': (504, b'', StoreOutcomeUnknownError),
    'no JSON': (200, b'<html>', StoreOutcomeUnknownError),
    'wrong fields': (200, b'{"versions": 1}', StoreOutcomeUnknownError),
    'conflict without rows': (409, b'{}', StoreOutcomeUnknownError),
    'too many calls': (429, b'', StoreUnavailableError),
}


@pytest.mark.parametrize('case', BAD_ANSWERS)
async def test_malformed_answers(case: str) -> None:
    """Guards against an untyped error or a wrongly certain outcome."""
    status, body, error = BAD_ANSWERS[case]

    async def answer(_: web.Request) -> web.Response:
        return web.Response(status=status, body=body)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    runner, url = await serve(app)
    async with aiohttp.ClientSession() as session:
        tables = HttpTableStore(session, url)
        with pytest.raises(StoreError) as caught:
            await tables.commit(FIRST, [], [])
        assert caught.type is error
        with pytest.raises(StoreUnavailableError):
            await tables.read(['a'])
        with pytest.raises(PlatformError):
            await HttpHostList(session, url).hosts()
    await runner.cleanup()
    async with aiohttp.ClientSession() as session:
        with pytest.raises(StoreError) as caught:
            await HttpTableStore(session, url).commit(FIRST, [], [])
    assert caught.type is StoreUnavailableError, 'no connection was made'
