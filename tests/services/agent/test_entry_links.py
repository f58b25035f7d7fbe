"""Discovery and loss of entries by an agent."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import member_key
from dogwoodpost.ports.table_store import Write
from dogwoodpost.services.agent.entry_links import EntryLinks
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults


class FakeTransport:
    def __init__(self) -> None:
        self.reopened: list[str] = []

    def reconnect(self, address: str) -> None:
        self.reopened.append(address)


def row(name: str) -> Write:
    value = EntryRow(
        process_id=ids.ProcessId(name),
        incarnation=ids.Incarnation('i1'),
        host_id=ids.HostId('h'),
        region=ids.Region('r'),
        availability_zone=ids.AvailabilityZone('z'),
        peer_address=f'tcp://{name}',
    )
    return Write(member_key(value.process_id), msgspec.json.encode(value))


def heartbeat(name: str, sequence: int) -> messages.EntryHeartbeat:
    return messages.EntryHeartbeat(
        sender_id=name,
        sender_incarnation='i1',
        sender_address=f'tcp://{name}',
        sequence=sequence,
        echo_sequence=sequence,
        revision=1,
    )


async def test_entries_are_read_from_the_store() -> None:
    """Guards against losing all entries by a malformed row or an outage."""
    faults = StoreFaults()
    tables = MemoryTableStore(faults)
    bad = Write('members/entry/bad', b'{"process_id": 1}')
    await tables.commit('op', [], [row('e1'), bad, row('e2')])
    links = EntryLinks(['tcp://seed'], tables, FakeTransport(), 0.0)
    known = {'tcp://seed', 'tcp://e1', 'tcp://e2'}
    await links.read_registrations(0.0)
    assert {link.address for link in links.all()} == known
    faults.down = True
    await links.read_registrations(1.0)
    assert {link.address for link in links.all()} == known


async def test_silent_entry_is_reconnected_then_dead() -> None:
    """Guards against attempts that keep running for a dead entry."""
    transport = FakeTransport()
    tables = MemoryTableStore(StoreFaults())
    links = EntryLinks(['tcp://seed'], tables, transport, 0.0)
    links.record_heartbeat(heartbeat('seed', 1), 0.5)
    links.record_heartbeat(heartbeat('other', 1), 0.5)
    links.reopen_silent(3.4)
    assert transport.reopened == []
    links.reopen_silent(3.6)
    assert sorted(transport.reopened) == ['tcp://other', 'tcp://seed']
    assert links.collect_dead_entries(6.4) == []
    assert sorted(links.collect_dead_entries(6.6)) == ['other', 'seed']
    # The link to a seed stays, so that the entry is reached after a restart.
    assert [link.address for link in links.all()] == ['tcp://seed']
    assert links.live(6.6) == []
