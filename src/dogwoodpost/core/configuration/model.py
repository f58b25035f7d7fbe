"""Immutable model of the whole system's configuration."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION


class ServiceKind(Enum):
    """Kind of a service's endpoints."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class RouteKind(Enum):
    """Kind of a route's requests."""

    REQUEST = 'request'
    STREAM = 'stream'
    BATCH = 'batch'


class WeightedService(msgspec.Struct, frozen=True, kw_only=True):
    """A service that takes a share of a route's requests."""

    service: ids.ServiceName
    weight: int


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limits and scheduling weight of a client account.

    :param max_concurrency: requests in progress at a time.
    :param token_rate_per_s: refill rate of the token bucket.
    :param token_burst_tokens: capacity of the token bucket.
    :param max_queued_count: requests in the queue at a time.
    :param weight: share in relation to the other client accounts.
    """

    max_concurrency: int = 64
    token_rate_per_s: float = 100_000.0
    token_burst_tokens: int = 1_000_000
    max_queued_count: int = 256
    weight: float = 1.0


# For client accounts without limits, and for the system's own calls.
NO_LIMITS = Limits(
    max_concurrency=1_000_000,
    token_rate_per_s=1e12,
    token_burst_tokens=10**12,
    max_queued_count=1_000_000,
)


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """Client account, whose keys may send requests.

    :param priority: priority of its requests in place of their route's, None
        for the route's own.
    :param allowed_regions: regions in which its requests may be served.
    """

    client_account_id: ids.ClientAccountId
    limits: Limits = Limits()
    priority: int | None = None
    enabled: bool = True
    allowed_regions: AllowedRegions = ANY_REGION


class KeyRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Key of a client account; only its digest is stored.

    :param revoked_revision: revision that revoked the key.
    """

    key_id: ids.KeyId
    client_account_id: ids.ClientAccountId
    digest: str
    revoked: bool = False
    revoked_revision: ids.Revision | None = None


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Maps a path prefix, and for engines a model, to a service.

    :param host: virtual host; empty for any.
    :param weighted_services: services among which the requests are divided
        by weight, instead of ``service``.
    :param max_attempt_count: number of endpoints that may be tried for a
        request.
    :param resumable: whether an interrupted stream may resume at another
        endpoint.
    :param single_version: whether all tokens of a batch item must come from
        one weight version.
    :param due_ms: time until the results of a batch job are due.
    :param item_lifetime_s: time after which an item of a batch job may be
        given up.
    :param allowed_regions: regions in which its requests may be served.
    """

    name: ids.RouteName
    service: ids.ServiceName
    path_prefix: str
    model: ids.ModelName | None = None
    idempotent: bool = True
    open_to_all: bool = False
    client_account_ids: tuple[ids.ClientAccountId, ...] = ()
    max_body_bytes: int = 4 * 1024 * 1024
    timeout_ms: int = 60_000
    priority: int = 0
    kind: RouteKind = RouteKind.REQUEST
    host: str = ''
    weighted_services: tuple[WeightedService, ...] = ()
    max_attempt_count: int = 3
    resumable: bool = False
    single_version: bool = False
    due_ms: int = 60_000
    item_lifetime_s: float = 600.0
    allowed_regions: AllowedRegions = ANY_REGION

    @property
    def services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services that may run the route's requests."""
        if not self.weighted_services:
            return (self.service,)
        return tuple(weighted.service for weighted in self.weighted_services)


class ZoneScale(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a service's endpoints in each availability zone.

    :param start_up_s: time from an order until the new endpoint serves.
    """

    min_endpoint_count: int
    max_endpoint_count: int
    start_up_s: float


class ColdStart(msgspec.Struct, frozen=True, kw_only=True):
    """What the endpoints of a service bear after a start.

    :param duration_s: how long an endpoint is cold.
    :param rate_per_s: requests per second that a cold endpoint tolerates.
    """

    duration_s: float
    rate_per_s: float


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Service that routes may refer to.

    :param checks_fencing: whether its endpoints refuse orders with an
        outdated fencing number.
    :param zone_scale: set if endpoints are ordered by their number in each
        availability zone.
    :param cold_start: None if endpoints take their full load at once.
    """

    name: ids.ServiceName
    kind: ServiceKind
    model: ids.ModelName | None = None
    checks_fencing: bool = False
    endpoint_concurrency: int = 32
    min_endpoint_count: int = 1
    max_endpoint_count: int = 16
    endpoint_cost_per_hour: float = 1.0
    zone_scale: ZoneScale | None = None
    cold_start: ColdStart | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of the configuration."""

    revision: ids.Revision = ids.Revision(0)
    client_accounts: dict[ids.ClientAccountId, ClientAccount] = msgspec.field(
        default_factory=dict
    )
    keys: dict[ids.KeyId, KeyRecord] = msgspec.field(default_factory=dict)
    services: dict[ids.ServiceName, Service] = msgspec.field(
        default_factory=dict
    )
    routes: dict[ids.RouteName, Route] = msgspec.field(default_factory=dict)

    def priority(
        self,
        route_name: ids.RouteName,
        client_account_id: ids.ClientAccountId | None,
    ) -> int:
        """Return the priority of the requests of a route and an account.

        That of the account goes before that of the route; 0 if neither has
        one. Requests with a higher priority go first.

        :param client_account_id: None for requests without an account.
        """
        if client_account_id is not None:
            account = self.client_accounts.get(client_account_id)
            if account is not None and account.priority is not None:
                return account.priority
        route = self.routes.get(route_name)
        return route.priority if route is not None else 0

    def allowed_regions(
        self,
        route_name: ids.RouteName,
        client_account_id: ids.ClientAccountId | None,
    ) -> AllowedRegions:
        """Return where requests of a route and an account may be served.

        Both limit the regions; an unknown route or account limits nothing.

        :param client_account_id: None for requests without an account.
        """
        regions = ANY_REGION
        route = self.routes.get(route_name)
        if route is not None:
            regions = route.allowed_regions
        if client_account_id is not None:
            account = self.client_accounts.get(client_account_id)
            if account is not None:
                regions = regions.intersection(account.allowed_regions)
        return regions
