"""Heartbeats on a failing store, and the loads of other processes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.core.membership.host_weight import HostResources
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

    MakeService = Callable[[str], PresenceService]


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
def make_service(
    store: MemoryRowStore, clock: VirtualClock, router: Router
) -> MakeService:
    def make_service(name: str, incarnation: str = 'first') -> PresenceService:
        identity = ProcessIdentity(
            process_id=ids.ProcessId(name),
            incarnation=ids.Incarnation(incarnation),
            address='',
        )
        return PresenceService(identity, store, router, clock)

    return make_service


async def read_rows(
    service: PresenceService, store: MemoryRowStore, clock: VirtualClock
) -> None:
    page = await store.read(TABLE, '')
    service.apply(page.rows, clock.monotonic_s())
    service.note_contact(clock.monotonic_s(), clock.monotonic_s())


async def test_peers_stay_alive_while_own_heartbeats_fail(
    make_service: MakeService, store: MemoryRowStore, clock: VirtualClock
) -> None:
    """Guards against takeovers because the store refused all heartbeats.

    When the store had refused the writes of all processes for 2.6 s (trouble-2
    of Pizarra), each process took over the jobs of the others.
    """
    own, peer = make_service('one'), make_service('two')
    await own.write_heartbeat()
    await peer.write_heartbeat()
    await read_rows(own, store, clock)
    for _ in range(5):
        await clock.advance(0.8)
        store.faults.append(RowFault.UNAVAILABLE)
        with pytest.raises(StoreError):
            await own.write_heartbeat()
        await read_rows(own, store, clock)
    first = ids.Incarnation('first')
    peer_id = ids.ProcessId('two')
    assert not own.is_confirmed
    await own.write_heartbeat()
    await read_rows(own, store, clock)
    now_s = clock.monotonic_s()
    assert own.is_confirmed
    assert own.view.is_alive(peer_id, first, now_s)
    # Without further heartbeats the peer counts as failed.
    for _ in range(4):
        await clock.advance(0.8)
        await own.write_heartbeat()
        await read_rows(own, store, clock)
    assert not own.view.is_alive(peer_id, first, clock.monotonic_s())


@pytest.mark.parametrize(
    'fault', [RowFault.ANSWER_LOST, RowFault.APPLIED_LATE]
)
async def test_heartbeats_continue_after_a_lost_answer(
    make_service: MakeService, store: MemoryRowStore, fault: RowFault
) -> None:
    """Guards against heartbeats that conflict forever after a lost answer."""
    service = make_service('one')
    await service.write_heartbeat()
    store.faults.append(fault)
    with pytest.raises(StoreError):
        await service.write_heartbeat()
    store.apply_late()
    await service.write_heartbeat()
    assert service.is_confirmed


async def test_a_restarted_process_replaces_its_row(
    make_service: MakeService, store: MemoryRowStore, clock: VirtualClock
) -> None:
    """Guards against restarts that other processes do not notice."""
    await make_service('one').write_heartbeat()
    other = make_service('two')
    await other.write_heartbeat()
    await make_service('one', 'second').write_heartbeat()
    await read_rows(other, store, clock)
    restarted_id = ids.ProcessId('one')
    now_s = clock.monotonic_s()
    assert other.view.is_alive(restarted_id, ids.Incarnation('second'), now_s)
    assert not other.view.is_alive(
        restarted_id, ids.Incarnation('first'), now_s
    )


@pytest.mark.parametrize(
    ('versions', 'available_count'),
    [({}, 1), ({ids.ModelName('model'): ids.WeightVersion(1)}, 0)],
)
async def test_loads_of_other_processes_limit_engines_only(
    make_service: MakeService,
    store: MemoryRowStore,
    clock: VirtualClock,
    router: Router,
    versions: dict[ids.ModelName, ids.WeightVersion],
    available_count: int,
) -> None:
    """Guards against requests to idle plain services that must wait.

    The heartbeats of other processes reported a burst of scoring for 0.8 s
    (trouble-1 of Pizarra): 1,000 requests to plain services were refused or
    waited up to 0.9 s although their endpoints were idle.
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
    own = make_service('own')
    await own.write_heartbeat()
    key = RowKey(TABLE, '', 'other')
    record = PresenceRecord(
        incarnation=ids.Incarnation('first'),
        sequence=1,
        loads={endpoint.endpoint_id: 7},
    )
    store.apply([], [RowWrite(key, msgspec.msgpack.encode(record))])
    await read_rows(own, store, clock)
    query = RouteQuery(service=endpoint.service)
    assert (
        len(router.available_endpoints(query, clock.monotonic_s()))
        == available_count
    )


async def test_heartbeat_states_the_resources_of_the_host(
    store: MemoryRowStore, clock: VirtualClock, router: Router
) -> None:
    """Guards against owners chosen without the amounts of a host."""
    identity = ProcessIdentity(
        process_id=ids.ProcessId('a'),
        incarnation=ids.Incarnation('first'),
        address='',
    )
    resources = HostResources(
        cores=0.5, memory_mb=200.0, descriptor_count=4_100, link_mbps=30.0
    )
    service = PresenceService(
        identity, store, router, clock, resources=resources
    )
    await service.write_heartbeat()
    (row,) = (await store.read(TABLE, '')).rows
    record = msgspec.msgpack.decode(row.value, type=PresenceRecord)
    assert (record.cores, record.memory_mb) == (0.5, 200.0)
    assert (record.descriptor_count, record.link_mbps) == (4_100, 30.0)
