"""Faults of one soak, drawn from its seed."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from dogwoodpost.standins.memory_row_store import RowFault
from dogwoodpost.standins.site.sampler_app import SamplerFault
from tests.fakes.fault_proxy import Harm

_FIRST_FAULT_S = 1.0
_MAX_FAULT_DURATION_S = 3.0


class FaultKind(Enum):
    """Which part of the site a fault affects, and how."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    HANG_UP = 'hang_up'
    STORE_LINK = 'store_link'
    ENDPOINT_LINK = 'endpoint_link'
    DUTY_LINK = 'duty_link'
    STORE_DOWN = 'store_down'
    STORE_WRITES = 'store_writes'
    ENDPOINT = 'endpoint'
    DRAIN = 'drain'
    CONFIGURATION = 'configuration'
    VERSION = 'version'
    EVACUATION = 'evacuation'
    ZONE_LOSS = 'zone_loss'
    ZONE_CUT = 'zone_cut'
    SILENCE = 'silence'


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    :param at_s: start in seconds from the start of the traffic.
    :param for_s: duration in seconds.
    :param target: index of the process, link or endpoint, modulo their
        number.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    harm: Harm = Harm.NONE
    row_fault: RowFault | None = None
    endpoint_fault: SamplerFault | None = None


_LINK_FAULT_KINDS = (
    FaultKind.STORE_LINK,
    FaultKind.ENDPOINT_LINK,
    FaultKind.DUTY_LINK,
)
_ZONE_FAULT_KINDS = (
    FaultKind.EVACUATION,
    FaultKind.ZONE_LOSS,
    FaultKind.ZONE_CUT,
)
_SINGLE_FAULT_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind not in {*_ZONE_FAULT_KINDS, FaultKind.SILENCE}
)
# Open connections of the whole site that go silent, which may overlap.
_SILENCE_COUNT = 2


def draw_plan(seed: int, duration_s: float, count: int) -> list[Fault]:
    """Return the faults of a soak in the order of their start.

    Each soak has one fault of each kind that affects a whole zone, and two
    silences of all open connections. These have generators of their own, so
    the other faults depend on the seed alone.
    """
    rng = random.Random(seed)
    faults = [
        _draw_fault(rng, rng.choice(_SINGLE_FAULT_KINDS), duration_s)
        for _ in range(count)
    ]
    zone_rng = random.Random(f'{seed}/zones')
    faults += [
        _draw_fault(zone_rng, kind, duration_s) for kind in _ZONE_FAULT_KINDS
    ]
    silence_rng = random.Random(f'{seed}/silences')
    faults += [
        _draw_fault(silence_rng, FaultKind.SILENCE, duration_s)
        for _ in range(_SILENCE_COUNT)
    ]
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    rng: random.Random, kind: FaultKind, duration_s: float
) -> Fault:
    harms = [harm for harm in Harm if harm is not Harm.NONE]
    return Fault(
        at_s=round(rng.uniform(_FIRST_FAULT_S, duration_s), 2),
        for_s=round(rng.uniform(0.2, _MAX_FAULT_DURATION_S), 2),
        kind=kind,
        target=rng.randrange(1_000),
        harm=rng.choice(harms) if kind in _LINK_FAULT_KINDS else Harm.NONE,
        row_fault=rng.choice(list(RowFault)),
        endpoint_fault=rng.choice(list(SamplerFault)),
    )
