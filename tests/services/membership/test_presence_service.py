"""Heartbeats on a store that fails for some or for all."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.membership.presence_service import PresenceService
from dogwoodpost.services.membership.presence_service import TABLE
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.memory_row_store import RowFault
from dogwoodpost.standins.virtual_clock import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable

    Make = Callable[[str], PresenceService]


@pytest.fixture
def store() -> MemoryRowStore:
    return MemoryRowStore()


@pytest.fixture
def clock() -> VirtualClock:
    return VirtualClock()


@pytest.fixture
def router() -> Router:
    return Router(
        ids.AvailabilityZone('zone-a'),
        ids.Region('region-a'),
        random.Random(1),
    )


@pytest.fixture
def make(store: MemoryRowStore, clock: VirtualClock, router: Router) -> Make:
    def make(name: str, incarnation: str = 'first') -> PresenceService:
        identity = ProcessIdentity(
            process_id=ids.ProcessId(name),
            incarnation=ids.Incarnation(incarnation),
            address='',
        )
        return PresenceService(identity, store, router, clock)

    return make


async def read(
    service: PresenceService, store: MemoryRowStore, clock: VirtualClock
) -> None:
    page = await store.read(TABLE, '')
    service.apply(page.rows, clock.monotonic_s())
    service.note_contact(clock.monotonic_s())


async def test_failing_own_heartbeats_prove_nothing_of_others(
    make: Make, store: MemoryRowStore, clock: VirtualClock
) -> None:
    """Guards against takeovers of all jobs while no heartbeat is written.

    Seen on trouble-2 of Pizarra: the store refused the table's writes to all
    for 2.6 s, and at its return each process took the jobs of the others.
    """
    one, two = make('one'), make('two')
    await one.write_heartbeat()
    await two.write_heartbeat()
    await read(one, store, clock)
    for _ in range(5):
        await clock.advance(0.8)
        store.faults.append(RowFault.UNAVAILABLE)
        with pytest.raises(StoreError):
            await one.write_heartbeat()
        await read(one, store, clock)
    first = ids.Incarnation('first')
    two_id = ids.ProcessId('two')
    assert not one.is_confirmed
    await one.write_heartbeat()
    await read(one, store, clock)
    now_s = clock.monotonic_s()
    assert one.is_confirmed
    assert one.view.is_alive(two_id, first, now_s)
    # Without a heartbeat in the time that follows it is gone.
    for _ in range(4):
        await clock.advance(0.8)
        await one.write_heartbeat()
        await read(one, store, clock)
    assert not one.view.is_alive(two_id, first, clock.monotonic_s())


@pytest.mark.parametrize(
    'fault', [RowFault.ANSWER_LOST, RowFault.APPLIED_LATE]
)
async def test_lost_answers_do_not_end_heartbeats(
    make: Make, store: MemoryRowStore, fault: RowFault
) -> None:
    """Guards against a process that never gets past a lost answer."""
    one = make('one')
    await one.write_heartbeat()
    store.faults.append(fault)
    with pytest.raises(StoreError):
        await one.write_heartbeat()
    store.apply_late()
    await one.write_heartbeat()
    assert one.is_confirmed


async def test_a_restarted_process_replaces_its_row(
    make: Make, store: MemoryRowStore, clock: VirtualClock
) -> None:
    """Guards against restarts that the others do not notice."""
    await make('one').write_heartbeat()
    other = make('two')
    await other.write_heartbeat()
    await make('one', 'second').write_heartbeat()
    await read(other, store, clock)
    one = ids.ProcessId('one')
    now_s = clock.monotonic_s()
    assert other.view.is_alive(one, ids.Incarnation('second'), now_s)
    assert not other.view.is_alive(one, ids.Incarnation('first'), now_s)


@pytest.mark.parametrize(
    ('versions', 'open_count'),
    [({}, 1), ({ids.ModelName('model'): ids.WeightVersion(1)}, 0)],
)
async def test_loads_of_others_hold_up_requests_to_engines_only(
    make: Make,
    store: MemoryRowStore,
    clock: VirtualClock,
    router: Router,
    versions: dict[ids.ModelName, ids.WeightVersion],
    open_count: int,
) -> None:
    """Guards against short requests that wait for places long free again.

    Seen on trouble-1 of Pizarra: a burst of scoring at other processes stood
    in their heartbeats for 0.8 s; 1,000 requests to plain services were
    refused or waited up to 0.9 s although their endpoints were idle.
    """
    endpoint = Endpoint(
        endpoint_id=ids.EndpointId('endpoint'),
        service=ids.ServiceName('service'),
        availability_zone=ids.AvailabilityZone('zone-a'),
        region=ids.Region('region-a'),
        capacity_count=6,
        weight_versions=versions,
    )
    router.upsert(endpoint, 0.0)
    own = make('own')
    await own.write_heartbeat()
    key = RowKey(TABLE, '', 'other')
    record = PresenceRecord(
        incarnation=ids.Incarnation('first'),
        sequence=1,
        loads={endpoint.endpoint_id: 7},
    )
    store.apply([], [RowWrite(key, msgspec.msgpack.encode(record))])
    await read(own, store, clock)
    query = RouteQuery(service=endpoint.service)
    assert (
        len(router.available_endpoints(query, clock.monotonic_s()))
        == open_count
    )
