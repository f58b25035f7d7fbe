"""States of other processes: which ones count, and their encoding."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_msgpack
from dogwoodpost.core.membership.load_totals import LoadTotals
from dogwoodpost.core.membership.peer_states import ItemDemand
from dogwoodpost.core.membership.peer_states import PeerState
from dogwoodpost.core.membership.peer_states import PeerStates
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.state_encoding import encode_state
from dogwoodpost.core.membership.state_encoding import MAX_DATAGRAM_BYTES

PEER = ids.ProcessId('peer')


def state(sequence: int, heartbeat: int = 1, **fields: object) -> PeerState:
    return PeerState(
        process_id=PEER,
        incarnation=ids.Incarnation('first'),
        sequence=sequence,
        heartbeat_sequence=heartbeat,
        **fields,
    )


def row(sequence: int, **loads: int) -> PresenceRecord:
    return PresenceRecord(
        incarnation=ids.Incarnation('first'), sequence=sequence, loads=loads
    )


@pytest.mark.parametrize(
    ('row_sequence', 'now_s', 'counts'),
    [(1, 1.2, True), (2, 0.1, False), (1, 1.21, False)],
)
def test_the_newer_of_row_and_state_counts(
    row_sequence: int, now_s: float, counts: bool
) -> None:
    """Guards against loads that are older than what the row states."""
    states = PeerStates()
    states.record(state(1, loads={'e0': 3}), row(1), 0.0)
    newer = states.newer_loads(PEER, row(row_sequence), now_s)
    assert newer == ({'e0': 3} if counts else None)


def test_a_delayed_state_replaces_nothing() -> None:
    """Guards against datagrams that arrive in another order."""
    states = PeerStates()
    assert states.record(state(2, loads={'e0': 1}), row(1), 0.0)
    assert not states.record(state(1, loads={'e0': 9}), row(1), 0.0)
    assert states.loads(0.1) == {PEER: {'e0': 1}}


def test_a_partial_state_replaces_only_what_it_names() -> None:
    """Guards against endpoints that look empty or busy for ever."""
    states = PeerStates()
    states.record(state(1, loads={'e0': 3, 'e1': 2}), row(1), 0.0)
    partial = state(2, complete=False, loads={'e0': 5})
    states.record(partial, row(1, e0=1), 0.1)
    assert states.loads(0.1) == {PEER: {'e0': 5, 'e1': 2}}
    # A newer row states what has become of the other endpoints.
    later = state(3, 2, complete=False, loads={'e0': 6})
    states.record(later, row(2, e0=5), 0.2)
    assert states.loads(0.2) == {PEER: {'e0': 6}}


def test_a_large_state_fits_into_a_datagram() -> None:
    """Guards against datagrams that are fragmented or can't be sent."""
    loads = {ids.EndpointId(f'engine-{n:04}'): n for n in range(300)}
    demands = tuple(
        ItemDemand(service=f'service-{n}', start_by_s=float(n))
        for n in range(100)
    )
    data = encode_state(state(1, loads=loads, demands=demands))
    assert MAX_DATAGRAM_BYTES - 30 < len(data) <= MAX_DATAGRAM_BYTES
    kept = decode_msgpack(data, PeerState)
    assert not kept.complete
    count = len(kept.loads)
    assert kept.loads == {
        endpoint_id: n for endpoint_id, n in loads.items() if n >= 300 - count
    }
    assert kept.demands == demands[: len(kept.demands)] != ()


def test_fields_of_a_newer_build_are_ignored() -> None:
    """Guards against builds that can't read each other's datagrams."""
    sent = state(1, demands=(ItemDemand(service='s', waiting_count=2),))
    fields = msgspec.msgpack.decode(encode_state(sent))
    fields[-1][0].append('new')
    data = msgspec.msgpack.encode([*fields, {'new': 1}])
    assert decode_msgpack(data, PeerState) == sent


def test_only_changed_sums_are_reported() -> None:
    """Guards against reports of endpoints whose count is the same."""
    totals = LoadTotals()
    totals.count(PEER, {'e0': 2, 'e1': 1})
    totals.count(ids.ProcessId('other'), {'e1': 4})
    assert totals.take_changed() == {'e0': 2, 'e1': 5}
    totals.count(PEER, {'e0': 2, 'e1': 3})
    assert totals.take_changed() == {'e1': 7}
    totals.retain({ids.ProcessId('other')})
    assert totals.take_changed() == {'e0': 0, 'e1': 4}
