"""Sections of the policy, each of which switches one mechanism on."""

from __future__ import annotations

from typing import Annotated

import msgspec

Weight = Annotated[float, msgspec.Meta(ge=0.01, le=100.0)]


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all sections; a misspelt field is an error, not a default."""


class LoadExchangePolicy(_Section, frozen=True, kw_only=True):
    """Direct exchange of loads between the processes that own batch jobs.

    :param interval_ms: shortest time between two messages to one process. A
        state is used for 0.9 s at least, so that two messages may be lost.
    """

    enabled: bool = False
    interval_ms: Annotated[int, msgspec.Meta(ge=20, le=400)] = 100


class CapacitySharePolicy(_Section, frozen=True, kw_only=True):
    """Fair shares of a service's slots between trainers.

    :param weights: weight by model; models that are not listed have 1.0.
    """

    enabled: bool = False
    weights: dict[str, Weight] = {}


class AdaptiveMovePolicy(_Section, frozen=True, kw_only=True):
    """Placement and moves of items by the expected end of their output."""

    enabled: bool = False


class ScoringLimitPolicy(_Section, frozen=True, kw_only=True):
    """Adaptive limit on the concurrent scoring calls of a process.

    :param max_share: share of a service's slots that scoring calls may use
        while clients use the service too.
    """

    enabled: bool = False
    max_share: Annotated[float, msgspec.Meta(ge=0.05, le=1.0)] = 0.75


class HostOwnershipPolicy(_Section, frozen=True, kw_only=True):
    """Ownership of batch jobs by all resources of a host."""

    enabled: bool = False


class HedgingPolicy(_Section, frozen=True, kw_only=True):
    """Second attempts of slow idempotent requests.

    :param extra_send_share: limit on second attempts, as a share of the first
        attempts of a route; 0.0 switches hedging off.
    :param latency_percentile: percentile of the route's recent latencies
        after which the second attempt is sent.
    :param min_delay_ms: shortest delay of the second attempt.
    :param max_utilization: share of a service's slots in use above which
        nothing is hedged.
    """

    extra_send_share: Annotated[float, msgspec.Meta(ge=0.0, le=0.2)] = 0.0
    latency_percentile: Annotated[float, msgspec.Meta(ge=50.0, le=99.9)] = 95.0
    min_delay_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 20
    max_utilization: Annotated[float, msgspec.Meta(ge=0.1, le=1.0)] = 0.7

    @property
    def enabled(self) -> bool:
        """Return whether any request may be hedged."""
        return self.extra_send_share > 0.0


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """All sections; every mechanism is off by default."""

    load_exchange: LoadExchangePolicy = LoadExchangePolicy()
    capacity_shares: CapacitySharePolicy = CapacitySharePolicy()
    adaptive_moves: AdaptiveMovePolicy = AdaptiveMovePolicy()
    scoring_limit: ScoringLimitPolicy = ScoringLimitPolicy()
    host_ownership: HostOwnershipPolicy = HostOwnershipPolicy()
    hedging: HedgingPolicy = HedgingPolicy()
