"""Entries with in-memory fakes of their dependencies, on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import changes
from dogwoodpost.core.configuration import ClientAccount
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import KnownEntries
from dogwoodpost.core.configuration.records import REVISION_PREFIX
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.host_list import HostState
from dogwoodpost.ports.host_list import ListedHost
from dogwoodpost.ports.peer_transport import PeerTransport
from dogwoodpost.ports.table_store import TableStore
from dogwoodpost.services.entry.configuration_editor import ChangeRequest
from dogwoodpost.services.entry.configuration_editor import ConfigurationEditor
from dogwoodpost.services.entry.configuration_editor import fingerprint_of
from dogwoodpost.services.entry.configuration_repository import (
    ConfigurationRepository,
)
from dogwoodpost.services.entry.configuration_service import (
    ConfigurationService,
)
from dogwoodpost.services.entry.entry_peers import EntryPeers
from dogwoodpost.services.entry.registration import EntryRegistration
from dogwoodpost.standins.host_list import MemoryHostList
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_time import HostClock

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.core.messages import AnyMessage
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import Write

# Bounds of the one-way delay: within a region and between regions.
NEAR_DELAY_S = 0.001
FAR_DELAY_S = 0.02
SEND_TIMEOUT_S = 5.0


class Network:
    """Delivers messages between addresses, with delays and cuts.

    ``cut`` holds addresses that neither send nor receive. A send to an address
    in ``blocked`` fails after the time-out of the sender.
    """

    def __init__(self, rng: random.Random) -> None:
        self.cut: set[str] = set()
        self.blocked: set[str] = set()
        self.message_count = 0
        self.bytes_sent: dict[str, int] = {}
        self._rng = rng
        self._handlers: dict[str, Callable[[AnyMessage], Awaitable[None]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def connect(
        self, address: str, handler: Callable[[AnyMessage], Awaitable[None]]
    ) -> None:
        """Register the handler of the messages for an address."""
        self._handlers[address] = handler

    def disconnect(self, address: str) -> None:
        """Drop messages for an address from now on."""
        self._handlers.pop(address, None)

    def send(self, source: str, target: str, message: AnyMessage) -> None:
        """Deliver a message after a delay, unless an address is cut."""
        size = len(msgspec.msgpack.encode(message))
        self.message_count += 1
        self.bytes_sent[source] = self.bytes_sent.get(source, 0) + size
        if source in self.cut:
            return
        task = asyncio.ensure_future(self._deliver(target, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, target: str, message: AnyMessage) -> None:
        await asyncio.sleep(self._rng.uniform(NEAR_DELAY_S, FAR_DELAY_S))
        handler = self._handlers.get(target)
        if handler is not None and target not in self.cut:
            await handler(message)


class FakeTransport(PeerTransport):
    """Transport of one process over the simulated network."""

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    @property
    def address(self) -> str:
        """Return the address at which peers reach this process."""
        return self._address

    async def send(self, address: str, message: AnyMessage) -> None:
        """Send a message through the network.

        :raises TransportError: the address is blocked.
        """
        if address in self._network.blocked:
            await asyncio.sleep(SEND_TIMEOUT_S)
            raise TransportError('the peer accepts no messages')
        self._network.send(self._address, address, message)

    async def receive(self) -> AnyMessage:
        """Raise, because the network calls the handler directly.

        :raises TransportError: always.
        """
        raise TransportError('messages are delivered to the handler only')

    def reconnect(self, address: str) -> None:
        """Do nothing, because the network has no connections."""

    async def close(self) -> None:
        """Stop receiving messages."""
        self._network.disconnect(self._address)


class CountedHostList(MemoryHostList):
    """Host list that counts the JSON bytes of the lists it returns."""

    def __init__(self) -> None:
        super().__init__()
        self.byte_count = 0

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the current list."""
        hosts = await super().hosts()
        self.byte_count += len(msgspec.json.encode(hosts))
        return hosts


class TimedTableStore(MemoryTableStore):
    """Table store that records when each revision became durable."""

    def __init__(self) -> None:
        super().__init__()
        self.durable_s: dict[int, float] = {}

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply a transaction."""
        versions = await super().commit(operation_id, checks, writes)
        now_s = asyncio.get_running_loop().time()
        for key in versions:
            if key.startswith(REVISION_PREFIX):
                revision = int(key.removeprefix(REVISION_PREFIX))
                self.durable_s.setdefault(revision, now_s)
        return versions


class StoreLink(TableStore):
    """Link of one process to the table store, with its own faults.

    ``cut`` refuses all calls, ``loss`` is the share of commits whose response
    is lost, ``latency_s`` the longest delay of each direction. ``byte_count``
    holds the sizes of keys and values in both directions.
    """

    def __init__(self, store: TableStore, rng: random.Random) -> None:
        self.cut = False
        self.loss = 0.0
        self.latency_s = 0.005
        self.read_count = 0
        self.write_count = 0
        self.byte_count = 0
        self._store = store
        self._rng = rng

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist."""
        self.read_count += 1
        self.byte_count += sum(len(key) for key in keys)
        await self._travel()
        rows = await self._store.read(keys)
        await self._travel()
        self.byte_count += _size(rows.values())
        return rows

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Return rows under a prefix."""
        self.read_count += 1
        await self._travel()
        rows = await self._store.scan(prefix, after=after, limit=limit)
        await self._travel()
        self.byte_count += len(prefix) + _size(rows)
        return rows

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply a transaction; its response may be lost."""
        self.write_count += 1
        self.byte_count += sum(
            len(write.key) + len(write.value or b'') for write in writes
        )
        await self._travel()
        versions = await self._store.commit(operation_id, checks, writes)
        await asyncio.sleep(self._rng.uniform(0, self.latency_s))
        if self.cut or self._rng.random() < self.loss:
            raise StoreOutcomeUnknownError('the response was lost')
        return versions

    async def _travel(self) -> None:
        await asyncio.sleep(self._rng.uniform(0, self.latency_s))
        if self.cut:
            raise StoreUnavailableError('the link to the store is cut')


class Entry:
    """Configuration services of one entry, with its own clock and links."""

    def __init__(self, fleet: Fleet, name: str, rate: float) -> None:
        self.name = ids.ProcessId(name)
        self.fleet = fleet
        rng = random.Random(fleet.rng.random())
        self.clock = HostClock(rate, offset_s=fleet.rng.uniform(0, 1e6))
        self.link = StoreLink(fleet.tables, rng)
        self.row = EntryRow(
            process_id=self.name,
            incarnation=ids.Incarnation(f'{name}-{fleet.rng.random()}'),
            host_id=ids.HostId(f'host-of-{name}'),
            region=ids.Region('minas'),
            availability_zone=ids.AvailabilityZone('minas-a'),
            peer_address=f'tcp://{name}',
        )
        self.transport = FakeTransport(fleet.network, self.row.peer_address)
        self.known = KnownEntries(self.name)
        repository = ConfigurationRepository(
            self.link, fleet.objects, self.clock
        )
        self.registration = EntryRegistration(
            self.row, self.link, fleet.hosts, self.known, self.clock, rng
        )
        peers = EntryPeers(self.row, self.known, self.transport, self.clock)
        self.service = ConfigurationService(
            repository, self.registration, peers, self.clock, rng
        )
        self.editor = ConfigurationEditor(
            self.service, repository, self.clock, rng, process_id=self.name
        )

    async def start(self) -> None:
        """Start the service and the delivery of messages to it."""
        self.fleet.network.connect(self.row.peer_address, self.service.handle)
        self.fleet.list_host(self.row)
        await self.service.start()

    async def crash(self) -> None:
        """Stop without removing the registration."""
        self.fleet.network.disconnect(self.row.peer_address)
        self.link.cut = True
        await self.service.stop()

    async def change(self, change: changes.Change, request_id: str) -> int:
        """Make a change at this entry and return its revision."""
        request = ChangeRequest(
            request_id=ids.RequestId(request_id),
            fingerprint=fingerprint_of(change),
            change=change,
        )
        return (await self.editor.change(request)).revision


class Fleet:
    """Entries that share a store, an object store and a host list."""

    def __init__(
        self, count: int, seed: int, rates: Sequence[float] = (1.0,)
    ) -> None:
        self.rng = random.Random(seed)
        self.tables = TimedTableStore()
        self.objects = MemoryObjectStore()
        self.hosts = CountedHostList()
        self.network = Network(self.rng)
        self.entries = [
            Entry(self, f'entry-{index}', rates[index % len(rates)])
            for index in range(count)
        ]

    def list_host(self, row: EntryRow) -> None:
        """Add the host of an entry to the host list as live."""
        self.hosts.listed[row.host_id] = ListedHost(
            host_id=row.host_id,
            availability_zone=row.availability_zone,
            state=HostState.LIVE,
        )

    async def start(self) -> None:
        """Start all entries and wait until they accept changes."""
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await entry.service.wait_accepting()

    async def stop(self) -> None:
        """Stop all entries."""
        for entry in self.entries:
            entry.link.cut = True
            await entry.service.stop()

    def add(self, name: str, rate: float = 1.0) -> Entry:
        """Return a new entry that is not started yet."""
        entry = Entry(self, name, rate)
        self.entries.append(entry)
        return entry


def _size(rows: Iterable[Row]) -> int:
    return sum(len(row.key) + len(row.value) for row in rows)


def create_account(name: str) -> changes.CreateClientAccount:
    """Return a change that adds a client account."""
    account = ClientAccount(client_account_id=ids.ClientAccountId(name))
    return changes.CreateClientAccount(client_account=account)
