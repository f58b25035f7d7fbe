"""Distribution of a service's endpoints over availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from dogwoodpost.core import ids


def redistribute_lost_demand(
    demands: Mapping[ids.AvailabilityZone, float],
    lost_zones: Collection[ids.AvailabilityZone],
) -> dict[ids.AvailabilityZone, float]:
    """Add the demand of lost zones to the others, in proportion to theirs.

    A lost zone keeps its demand, so that its endpoints start as soon as the
    platform accepts orders for it again.
    """
    live = [zone for zone in demands if zone not in lost_zones]
    lost_demand = sum(demands[zone] for zone in demands if zone in lost_zones)
    live_demand = sum(demands[zone] for zone in live)
    total_demands = dict(demands)
    for zone in live:
        share = (
            demands[zone] / live_demand if live_demand > 0 else 1 / len(live)
        )
        total_demands[zone] += lost_demand * share
    return total_demands


def clamp_total(
    wanted: Mapping[ids.AvailabilityZone, int],
    minimum: int,
    maximum: int,
    lost_zones: Collection[ids.AvailabilityZone] = (),
) -> dict[ids.AvailabilityZone, int]:
    """Return counts whose sum lies between the service's limits.

    Below the minimum, endpoints are added to the zones with the fewest; lost
    zones do not count towards the minimum. Above the maximum, all zones are
    reduced in proportion, by the largest remainder method.
    """
    clamped = dict(sorted(wanted.items()))
    if not clamped:
        return clamped
    live = [zone for zone in clamped if zone not in lost_zones]
    while live and sum(clamped[zone] for zone in live) < minimum:
        fewest = min(live, key=lambda zone: clamped[zone])
        clamped[fewest] += 1
    total = sum(clamped.values())
    if total <= maximum:
        return clamped
    shares = {zone: maximum * clamped[zone] / total for zone in clamped}
    reduced = {zone: int(share) for zone, share in shares.items()}
    by_remainder = sorted(
        shares, key=lambda zone: (reduced[zone] - shares[zone], zone)
    )
    for zone in by_remainder[: maximum - sum(reduced.values())]:
        reduced[zone] += 1
    return reduced


def clamp_each(
    wanted: Mapping[ids.AvailabilityZone, int], minimum: int, maximum: int
) -> dict[ids.AvailabilityZone, int]:
    """Return each zone's count, limited to a minimum and a maximum."""
    return {
        zone: min(max(count, minimum), maximum)
        for zone, count in sorted(wanted.items())
    }
