"""Encodes the own state into one datagram."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.peer_states import ItemDemand
    from dogwoodpost.core.membership.peer_states import PeerState

# Fits into one packet on common networks, so that it isn't fragmented.
MAX_DATAGRAM_BYTES = 1_200
# A truncated state keeps room for loads, which all receivers use.
_MAX_DEMAND_BYTES = 600
# The length of an array or map takes up to 3 bytes, of which an empty one
# has 1. There are two of them.
_LENGTH_BYTES = 4
_encoder = msgspec.msgpack.Encoder()


def encode_state(state: PeerState) -> bytes:
    """Return the bytes of a state, truncated to fit into one datagram.

    Of a larger state, the most urgent demands and the endpoints with the
    largest loads are kept.
    """
    data = _encoder.encode(state)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return data
    demands = _fitting_demands(state.demands)
    partial = msgspec.structs.replace(
        state, complete=False, loads={}, demands=demands
    )
    left_bytes = (
        MAX_DATAGRAM_BYTES - len(_encoder.encode(partial)) - _LENGTH_BYTES
    )
    loads = _fitting_loads(state.loads, left_bytes)
    return _encoder.encode(msgspec.structs.replace(partial, loads=loads))


def _fitting_demands(
    demands: tuple[ItemDemand, ...],
) -> tuple[ItemDemand, ...]:
    kept: list[ItemDemand] = []
    left_bytes = _MAX_DEMAND_BYTES
    for demand in sorted(demands, key=lambda demand: demand.start_by_s):
        left_bytes -= len(_encoder.encode(demand))
        if left_bytes < 0:
            break
        kept.append(demand)
    return tuple(kept)


def _fitting_loads(
    loads: dict[ids.EndpointId, int], left_bytes: int
) -> dict[ids.EndpointId, int]:
    kept: dict[ids.EndpointId, int] = {}
    for endpoint_id, count in sorted(
        loads.items(), key=lambda entry: (-entry[1], entry[0])
    ):
        left_bytes -= len(_encoder.encode(endpoint_id))
        left_bytes -= len(_encoder.encode(count))
        if left_bytes < 0:
            break
        kept[endpoint_id] = count
    return kept
