"""Exchange of loads between processes, on virtual time without sockets."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.core.membership.peer_states import ItemDemand
from dogwoodpost.core.membership.peer_states import PeerState
from dogwoodpost.core.membership.peer_states import PeerStates
from dogwoodpost.core.policy import LoadExchangePolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import TransportError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.datagram_channel import DatagramChannel
from dogwoodpost.ports.datagram_channel import DatagramNetwork
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.membership.load_exchange import LoadExchange
from dogwoodpost.services.membership.presence_service import PresenceService
from dogwoodpost.services.membership.presence_service import TABLE
from dogwoodpost.services.process import running
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

ENGINE = ids.EndpointId('engine')
SERVICE = ids.ServiceName('engines')
SLOT_COUNT = 8
DELAY_S = 0.002
READ_INTERVAL_S = 0.2
ON = Policy(load_exchange=LoadExchangePolicy(enabled=True))
NOT_CONCLUSIVE = AttemptResult(failed=False, conclusive=False)


class Site:
    """Store and network of the processes."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.is_store_up = True
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.lost_share = 0.0
        self.cut_names: set[str] = set()
        self.sent: list[tuple[float, str, bytes]] = []
        self.rng = random.Random(7)

    def deliver(self, address: str, data: bytes) -> None:
        if address in self.receivers and address not in self.cut_names:
            self.receivers[address](data)


class Channel(DatagramNetwork, DatagramChannel):
    """Datagrams of one process."""

    def __init__(self, site: Site, name: str) -> None:
        self._site = site
        self._name = name
        self.is_taken = False

    @property
    def address(self) -> str:
        return self._name

    @contextlib.asynccontextmanager
    async def open(self, receive: Callable[[bytes], None]) -> Any:
        if self.is_taken:
            raise TransportError('address in use')
        self._site.receivers[self._name] = receive
        yield self
        del self._site.receivers[self._name]

    def send(self, address: str, data: bytes) -> bool:
        site, loop = self._site, asyncio.get_running_loop()
        site.sent.append((loop.time(), address, data))
        is_cut = bool({self._name, address} & site.cut_names)
        if not is_cut and site.rng.random() >= site.lost_share:
            loop.call_later(DELAY_S, site.deliver, address, data)
        return True


class Process:
    """A process with one engine in its router."""

    def __init__(self, site: Site, name: str, clock: HostClock) -> None:
        self.site, self.name, self.clock = site, name, clock
        self.metrics = Metrics()
        self.policy = PolicyHolder(ON)
        self.router = Router('zone', 'region', random.Random(1))
        endpoint = Endpoint(
            endpoint_id=ENGINE,
            service=SERVICE,
            availability_zone='zone',
            region='region',
            capacity_count=SLOT_COUNT,
            weight_versions={'model': 1},
        )
        self.router.upsert(endpoint, 0.0)
        self.identity = ProcessIdentity(
            process_id=name, incarnation='first', address=''
        )
        self.presence = PresenceService(
            self.identity, site.rows, self.router, clock
        )
        self.channel = Channel(site, name)
        self.states = PeerStates()
        self.item_ids: list[str] = []
        self._item_numbers = itertools.count()
        self.exchange = LoadExchange(
            self.identity,
            self.states,
            self.presence,
            self.router,
            self.channel,
            self.policy,
            clock,
            self.metrics,
            owns_items=lambda: bool(self.item_ids),
            own_demands=lambda _now_s: (
                (ItemDemand(service=SERVICE, running_count=1),)
                if self.item_ids
                else ()
            ),
        )

    def start_items(self, count: int) -> None:
        for _ in range(count):
            item_id = f'item-{next(self._item_numbers)}'
            self.item_ids.append(item_id)
            self.router.begin(
                ENGINE, item_id, RouteQuery(service=SERVICE), self.now_s
            )

    def end_items(self) -> None:
        while self.item_ids:
            self.router.finish(
                SERVICE,
                ENGINE,
                self.item_ids.pop(),
                NOT_CONCLUSIVE,
                self.now_s,
            )

    @property
    def now_s(self) -> float:
        return self.clock.monotonic_s()

    def seen_count(self) -> int:
        """Return the load of the engine as this process sees it."""
        found = self.router.available_endpoints(
            RouteQuery(service=SERVICE), self.now_s
        )
        return found[0].load_count if found else SLOT_COUNT

    def count(self, name: str) -> float:
        return (
            self.metrics.registry.get_sample_value(
                'dogwoodpost_events_total', {'name': f'load_exchange_{name}'}
            )
            or 0.0
        )

    async def read_and_write_rows(self) -> None:
        """Write a heartbeat every 0.8 s and read the rows every 0.2 s."""
        while True:
            for step in range(4):
                if self.site.is_store_up and self.name not in (
                    self.site.cut_names
                ):
                    if step == 0:
                        with contextlib.suppress(StoreError):
                            await self.presence.write_heartbeat()
                    page = await self.site.rows.read(TABLE, '')
                    self.presence.apply(page.rows, self.now_s)
                    self.presence.note_contact(self.now_s, self.now_s)
                await asyncio.sleep(READ_INTERVAL_S)


@contextlib.asynccontextmanager
async def processes(
    site: Site, *names: str, taken: str = ''
) -> AsyncIterator[list[Process]]:
    """Run processes that own an item each; their clocks differ."""
    async with contextlib.AsyncExitStack() as stack:
        found = []
        for number, name in enumerate(names):
            process = Process(site, name, HostClock(offset_s=500.0 * number))
            process.channel.is_taken = name == taken
            await stack.enter_async_context(running(process.exchange))
            task = asyncio.create_task(process.read_and_write_rows())
            stack.callback(task.cancel)
            process.start_items(1)
            found.append(process)
        await asyncio.sleep(2.0)
        yield found


def on_virtual_time(test: Callable[..., Any]) -> Callable[..., None]:
    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        run_virtual(test(*args, **kwargs))

    return run


@pytest.fixture
def site() -> Site:
    return Site()


@on_virtual_time
async def test_slots_are_seen_free_and_taken_at_once(site: Site) -> None:
    """Guards against engines that look full for a second after items ended.

    Loads that are known from heartbeats alone are up to a second old, while
    most items end within a second.
    """
    seen: dict[bool, list[int]] = {True: [], False: []}
    async with processes(site, 'one', 'two') as (one, two):
        for is_on in (True, False):
            one.policy.replace(ON if is_on else Policy())
            two.policy.replace(ON if is_on else Policy())
            await asyncio.sleep(1.0)
            for _ in range(20):
                one.start_items(6)
                await asyncio.sleep(0.15)
                seen[is_on].append(two.seen_count() - 8)
                one.end_items()
                one.start_items(1)
                await asyncio.sleep(0.15)
                seen[is_on].append(two.seen_count() - 2)
    assert seen[True] == [0] * 40
    assert sum(error != 0 for error in seen[False]) > 10


@on_virtual_time
async def test_lost_datagrams_are_replaced_by_the_next(site: Site) -> None:
    """Guards against loads that stay wrong after a lost datagram."""
    async with processes(site, 'one', 'two') as (one, two):
        site.lost_share = 1.0
        one.start_items(3)
        await asyncio.sleep(0.1)
        site.lost_share = 0.0
        await asyncio.sleep(0.45)
        assert two.seen_count() == 5


@on_virtual_time
async def test_a_silent_peer_counts_by_its_row_until_that_is_silent(
    site: Site,
) -> None:
    """Guards against loads of a killed, frozen or partitioned process."""
    async with processes(site, 'one', 'two') as (one, two):
        await asyncio.sleep(0.6)
        one.start_items(3)
        await asyncio.sleep(0.05)
        site.cut_names.add('one')
        assert two.seen_count() == 5
        await asyncio.sleep(1.5)
        # The row was written before the items began.
        assert two.seen_count() == 2
        assert two.states.demands(two.now_s) == []
        await asyncio.sleep(1.5)
        assert two.seen_count() == 1


@on_virtual_time
async def test_datagrams_continue_without_the_store(site: Site) -> None:
    """Guards against old loads while the store is down for long."""
    async with processes(site, 'one', 'two') as (one, two):
        site.is_store_up = False
        await asyncio.sleep(15.0)
        assert two.seen_count() == 2
        one.start_items(3)
        await asyncio.sleep(0.05)
        assert two.seen_count() == 5
        assert [entry.process_id for entry in two.states.demands(two.now_s)]


@on_virtual_time
async def test_a_taken_port_leaves_the_rows(site: Site) -> None:
    """Guards against a process that fails because a port is in use."""
    async with processes(site, 'one', 'two', taken='two') as (one, two):
        assert site.sent == []
        one.start_items(3)
        await asyncio.sleep(1.2)
        assert (one.seen_count(), two.seen_count()) == (5, 5)
        assert two.exchange.crash_reason is None


@on_virtual_time
async def test_a_port_that_becomes_free_is_used(site: Site) -> None:
    """Guards against an exchange that stays off until the next restart."""
    async with processes(site, 'one', 'two', taken='two') as (one, two):
        two.channel.is_taken = False
        await asyncio.sleep(7.0)
        one.start_items(3)
        await asyncio.sleep(0.15)
        assert two.seen_count() == 5


def forged(**changes: Any) -> bytes:
    state = PeerState(
        process_id='one',
        incarnation='first',
        sequence=10**6,
        heartbeat_sequence=10**6,
        loads={ENGINE: 7},
    )
    return msgspec.msgpack.encode(msgspec.structs.replace(state, **changes))


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (b'\xc1 not MessagePack', 'malformed'),
        (b'\x91' * 1_100, 'malformed'),
        (forged(loads={ENGINE: -7}), 'malformed'),
        (forged() + b'\x00' * 1_200, 'too_large'),
        (forged(incarnation='former'), 'other_incarnation'),
        (forged(process_id='unknown'), 'unknown_process'),
        (forged(process_id='two'), 'unknown_process'),
        (forged(sequence=0), 'outdated'),
    ],
)
@on_virtual_time
async def test_bad_datagrams_are_counted_and_dropped(
    site: Site, data: bytes, reason: str
) -> None:
    """Guards against bytes that stop the exchange or change loads."""
    async with processes(site, 'one', 'two') as (_, two):
        two.channel.send('two', data)
        await asyncio.sleep(0.1)
        assert two.count(f'dropped_{reason}') == 1
        assert two.seen_count() == 2


@on_virtual_time
async def test_an_old_build_gets_no_datagrams(site: Site) -> None:
    """Guards against a new build that ignores or addresses old ones."""
    async with processes(site, 'one', 'two') as (one, _):
        old_row = {'incarnation': 'x', 'sequence': 1, 'loads': {ENGINE: 4}}
        key = RowKey(TABLE, '', 'old')
        site.rows.apply([], [RowWrite(key, msgspec.msgpack.encode(old_row))])
        await asyncio.sleep(1.0)
        assert one.seen_count() == 6
        assert {address for _, address, _ in site.sent} == {'one', 'two'}


@on_virtual_time
async def test_messages_follow_changes_repeats_and_the_end(
    site: Site,
) -> None:
    """Guards against traffic without need, and against a missing end."""
    async with processes(site, 'one', 'two') as (one, two):
        site.sent.clear()
        await asyncio.sleep(4.0)
        repeats = [time_s for time_s, name, _ in site.sent if name == 'two']
        assert 8 <= len(repeats) <= 10
        site.sent.clear()
        for _ in range(100):
            one.start_items(1)
            await asyncio.sleep(0.01)
        times = [time_s for time_s, name, _ in site.sent if name == 'two']
        assert len(times) <= 11
        one.end_items()
        two.end_items()
        await asyncio.sleep(0.3)
        assert two.states.loads(two.now_s) == {'one': {}}
        site.sent.clear()
        await asyncio.sleep(4.0)
        assert site.sent == []


@on_virtual_time
async def test_the_policy_applies_without_a_restart(site: Site) -> None:
    """Guards against datagrams while the policy is off."""
    async with processes(site, 'one', 'two') as (one, two):
        two.policy.replace(Policy())
        await asyncio.sleep(1.5)
        site.sent.clear()
        one.start_items(3)
        await asyncio.sleep(1.2)
        assert not two.presence.datagram_address
        assert not two.states.loads(two.now_s)
        assert (one.seen_count(), two.seen_count()) == (5, 5)
        two.policy.replace(ON)
        await asyncio.sleep(2.0)
        one.end_items()
        await asyncio.sleep(0.15)
        assert two.seen_count() == 1
