"""The two simulated users: their zones, sizes and delays."""

from __future__ import annotations

import msgspec


class Zone(msgspec.Struct, frozen=True):
    """An availability zone, its region and what runs there."""

    name: str
    region: str
    sampler_count: int
    plain_count: int


class User(msgspec.Struct, frozen=True, kw_only=True):
    """A user of the service (section 1.1 of the design page)."""

    name: str
    model_service: str
    plain_service: str
    zones: tuple[Zone, ...]
    client_delay_s: float
    seed: int
    zone_delay_s: float = 0.001
    region_delay_s: float = 0.020
    # A few large client accounts and several small ones.
    demand_shares: tuple[float, ...] = (
        0.30,
        0.22,
        0.16,
        0.08,
        0.08,
        0.06,
        0.05,
        0.05,
    )


USERS = (
    User(
        name='Pizarra Lógica',
        model_service='slate-lm',
        plain_service='quarry-app',
        zones=(
            Zone('montevideo-a', 'montevideo', 2, 1),
            Zone('minas-a', 'minas', 2, 1),
            Zone('colonia-a', 'colonia', 1, 1),
        ),
        client_delay_s=0.001,
        seed=11,
    ),
    User(
        name='Swanbourne Matting',
        model_service='assistant-models',
        plain_service='booking-app',
        zones=(
            Zone('osborne-park', 'osborne-park', 2, 1),
            Zone('picton', 'picton', 2, 1),
            Zone('boulder', 'boulder', 1, 1),
        ),
        client_delay_s=0.003,
        seed=23,
    ),
)
