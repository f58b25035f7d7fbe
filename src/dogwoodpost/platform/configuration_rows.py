"""Decodes the operator's table.

It holds the configuration, weight versions and evacuated availability zones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.configuration import ClientAccount
from dogwoodpost.core.configuration import ColdStart
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import KeyRecord
from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import RouteKind
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.configuration import WeightedService
from dogwoodpost.core.configuration import ZoneScale
from dogwoodpost.core.decoding import BoundedInteger
from dogwoodpost.core.decoding import convert_value
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.keys import key_digest
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.ports.configuration_source import ConfigurationSource

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import VersionedRow
    from dogwoodpost.services.control.announced_versions import (
        AnnouncedVersions,
    )

_log = structlog.get_logger(__name__)
TABLE = 'op'
CONFIGURATION_KEY = 'config'
_VERSION_PREFIX = 'version/'
_EVACUATION_PREFIX = 'evacuate/'
_DEFAULT_TIMEOUT_MS = 10_000
_DEFAULT_START_UP_S = 5.0


class _WireStruct(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Base of the rows' structs; unknown fields are ignored."""


class _WireWeightedService(_WireStruct, frozen=True, kw_only=True):
    service: str
    weight: BoundedInteger


class _WireRoute(_WireStruct, frozen=True, kw_only=True):
    """A route of the configuration.

    :param public: whether clients need no key.
    :param priority: rank; 0 is the most urgent one.
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str | None = None
    weighted_services: tuple[_WireWeightedService, ...] = ()
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    due_ms: float | None = None
    queue_ttl_s: float | None = None
    max_attempts: BoundedInteger | None = None
    priority: BoundedInteger = 0
    public: bool = False
    resumable: bool = False
    single_version: bool = False
    allowed_regions: tuple[str, ...] = ()


class _WireScale(_WireStruct, frozen=True, kw_only=True):
    """Limits on the number of endpoints in each availability zone.

    :param boot_s: seconds from ordering an endpoint until it serves requests.
    """

    min: BoundedInteger
    max: BoundedInteger
    boot_s: float = _DEFAULT_START_UP_S


class _WireService(_WireStruct, frozen=True, kw_only=True):
    """A service of the configuration.

    :param engine: set for services that generate tokens.
    :param cold_start_s: how long an endpoint is cold after its start.
    :param cold_per_s: requests per second that a cold endpoint tolerates.
    """

    name: str
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: dict[str, object] | None = None
    scale: dict[str, object] | None = None


class _WireTenant(_WireStruct, frozen=True, kw_only=True):
    """A client account, which the platform calls a tenant.

    :param priority: rank of its requests, None for that of their route.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: BoundedInteger | None = None
    allowed_regions: tuple[str, ...] = ()


class _WireLimits(_WireStruct, frozen=True, kw_only=True):
    max_body_bytes: BoundedInteger = 33_554_432


class WireConfiguration(_WireStruct, frozen=True, kw_only=True):
    """The configuration as the operator sends it."""

    version: BoundedInteger
    routes: tuple[_WireRoute, ...] = ()
    services: tuple[_WireService, ...] = ()
    tenants: tuple[_WireTenant, ...] = ()
    limits: _WireLimits = _WireLimits()


class _WireVersion(_WireStruct, frozen=True, kw_only=True):
    model: str
    version: BoundedInteger


class ConfigurationRows(ConfigurationSource):
    """Configuration source that is fed with the rows of the operator's table.

    :param region_by_zone: all availability zones and their regions.
    :param on_evacuation: called with the evacuated availability zones after
        each change, and the monotonic time in seconds.
    :param max_age_s: seconds after the last contact with the store for which
        routes that need a key are served; None for no limit.
    """

    def __init__(
        self,
        announced_versions: AnnouncedVersions,
        clock: Clock,
        region_by_zone: Mapping[str, str],
        on_evacuation: Callable[
            [frozenset[ids.AvailabilityZone], float], None
        ],
        *,
        max_age_s: float | None,
    ) -> None:
        self._announced_versions = announced_versions
        self._clock = clock
        self._zones = frozenset(region_by_zone)
        self._regions = frozenset(region_by_zone.values())
        self._on_evacuation = on_evacuation
        self._evacuated_zones: frozenset[ids.AvailabilityZone] = frozenset()
        self._max_age_s = max_age_s
        self._current = Configuration()
        self._row_version = 0
        self._last_contact_s: float | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration has been applied."""
        return self._current.revision > 0

    def current(self) -> Configuration:
        """Return the revision in force; revision 0 before the first read."""
        return self._current

    def is_fresh(self) -> bool:
        """Return whether keyed routes may be served."""
        if self._max_age_s is None:
            return True
        if self._last_contact_s is None:
            return False
        age_s = self._clock.monotonic_s() - self._last_contact_s
        return age_s <= self._max_age_s

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each new revision, on the event loop."""
        self._listeners.append(listener)

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply changed rows.

        A deleted row ends an evacuation; other deletions have no effect.
        """
        evacuated_zones = set(self._evacuated_zones)
        for row in rows:
            zone = _evacuated_zone(row)
            if zone is not None and row.value is None:
                evacuated_zones.discard(zone)
            elif zone is not None:
                evacuated_zones.add(zone)
        self._set_evacuated_zones(frozenset(evacuated_zones), now_s)
        self._apply_values(rows)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply all rows of the table; other evacuations have ended."""
        zones = (_evacuated_zone(row) for row in rows)
        self._set_evacuated_zones(
            frozenset(zone for zone in zones if zone is not None), now_s
        )
        self._apply_values(rows)

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Record that all changes up to now have been applied."""
        self._last_contact_s = now_s

    def _apply_values(self, rows: Sequence[VersionedRow]) -> None:
        for row in rows:
            if row.value is None:
                continue
            if row.key.key == CONFIGURATION_KEY:
                self._apply_configuration(row.version, row.value)
            elif row.key.key.startswith(_VERSION_PREFIX):
                self._apply_announced_version(row.key.key, row.value)

    def _set_evacuated_zones(
        self, zones: frozenset[ids.AvailabilityZone], now_s: float
    ) -> None:
        for zone in zones - self._evacuated_zones:
            if zone in self._zones:
                _log.info('zone_evacuated', availability_zone=zone)
            else:
                _log.error('unknown_zone_evacuated', availability_zone=zone)
        for zone in self._evacuated_zones - zones:
            _log.info('zone_evacuation_ended', availability_zone=zone)
        if zones != self._evacuated_zones:
            self._evacuated_zones = zones
            self._on_evacuation(zones, now_s)

    def _apply_configuration(self, row_version: int, value: bytes) -> None:
        if row_version <= self._row_version:
            return
        try:
            wire, configuration = decode_configuration(value, self._regions)
        except (MalformedDataError, RegionsError) as error:
            _log.error(
                'configuration_unreadable',
                row_version=row_version,
                error=str(error),
                kept_revision=self._current.revision,
            )
            return
        self._row_version = row_version
        if wire.version <= self._current.revision:
            return
        self._current = configuration
        _log.info(
            'configuration_applied',
            revision=wire.version,
            row_version=row_version,
            routes=len(wire.routes),
            services=len(wire.services),
            client_accounts=len(wire.tenants),
        )
        for listener in self._listeners:
            listener(self._current)

    def _apply_announced_version(self, key: str, value: bytes) -> None:
        try:
            wire = decode_json(value, _WireVersion)
        except MalformedDataError as error:
            _log.error('version_unreadable', key=key, error=str(error))
            return
        self._announced_versions.record(
            ids.ModelName(wire.model), ids.WeightVersion(wire.version)
        )


def _evacuated_zone(row: VersionedRow) -> ids.AvailabilityZone | None:
    """Return the zone whose evacuation a row states, None for other rows."""
    if not row.key.key.startswith(_EVACUATION_PREFIX):
        return None
    return ids.AvailabilityZone(row.key.key.removeprefix(_EVACUATION_PREFIX))


class RegionsError(ValueError):
    """A list of allowed regions is not valid."""


def decode_configuration(
    value: bytes, known_regions: frozenset[str] | None
) -> tuple[WireConfiguration, Configuration]:
    """Return a configuration as sent, and converted.

    :param known_regions: regions of the site, None to accept all.

    :raises MalformedDataError: the bytes are not a configuration.
    :raises RegionsError: a region is unknown or listed twice.
    """
    wire = decode_json(value, WireConfiguration)
    return wire, _to_configuration(wire, known_regions)


def _to_configuration(
    wire: WireConfiguration, known_regions: frozenset[str] | None
) -> Configuration:
    """Convert a decoded configuration.

    :raises RegionsError: a region is unknown or listed twice.
    """
    accounts: dict[ids.ClientAccountId, ClientAccount] = {}
    keys: dict[ids.KeyId, KeyRecord] = {}
    for tenant in wire.tenants:
        account_id = ids.ClientAccountId(tenant.name)
        accounts[account_id] = ClientAccount(
            client_account_id=account_id,
            limits=NO_LIMITS,
            priority=_to_priority(tenant.priority),
            allowed_regions=_to_allowed_regions(
                tenant.allowed_regions, known_regions, f'tenant {tenant.name}'
            ),
        )
        for key in tenant.api_keys:
            digest = key_digest(key)
            key_id = ids.KeyId(digest)
            keys[key_id] = KeyRecord(
                key_id=key_id, client_account_id=account_id, digest=digest
            )
    routes = [
        _to_route(wire_route, wire, known_regions)
        for wire_route in wire.routes
    ]
    services = [_to_service(wire_service) for wire_service in wire.services]
    return Configuration(
        revision=ids.Revision(wire.version),
        client_accounts=accounts,
        keys=keys,
        services={service.name: service for service in services},
        routes={route.name: route for route in routes},
    )


def _to_allowed_regions(
    names: tuple[str, ...],
    known_regions: frozenset[str] | None,
    place: str,
) -> AllowedRegions:
    """Return the regions of a list; an empty list allows all of them.

    :param place: what the list belongs to, for the error message.
    :raises RegionsError: a region is unknown or listed twice.
    """
    if not names:
        return ANY_REGION
    regions = frozenset(names)
    if len(regions) < len(names):
        raise RegionsError(f'{place} lists a region twice: {names}')
    if known_regions is not None and not regions <= known_regions:
        unknown = ', '.join(sorted(regions - known_regions))
        raise RegionsError(f'{place} lists unknown regions: {unknown}')
    return AllowedRegions(frozenset(ids.Region(name) for name in names))


def _to_route(
    wire: _WireRoute,
    configuration: WireConfiguration,
    known_regions: frozenset[str] | None,
) -> Route:
    timeout_ms = wire.timeout_ms or _DEFAULT_TIMEOUT_MS
    weighted_services = tuple(
        WeightedService(
            service=ids.ServiceName(wire_weighted.service),
            weight=wire_weighted.weight,
        )
        for wire_weighted in wire.weighted_services
    )
    service = wire.service or (
        weighted_services[0].service if weighted_services else ''
    )
    kind = _to_route_kind(wire.kind)
    return Route(
        name=ids.RouteName(wire.name),
        host=wire.host,
        path_prefix=wire.prefix,
        kind=kind,
        service=ids.ServiceName(service),
        weighted_services=weighted_services,
        idempotent=wire.kind == 'safe' or wire.resumable,
        # Keys belong to client accounts; without any, no client has a key.
        open_to_all=wire.public or not configuration.tenants,
        max_body_bytes=configuration.limits.max_body_bytes,
        timeout_ms=int(timeout_ms),
        priority=-wire.priority,
        max_attempt_count=wire.max_attempts or 1,
        resumable=wire.resumable,
        single_version=wire.single_version,
        due_ms=int(wire.due_ms or timeout_ms),
        item_lifetime_s=wire.queue_ttl_s or timeout_ms / 1_000,
        allowed_regions=_to_allowed_regions(
            wire.allowed_regions, known_regions, f'route {wire.name}'
        ),
    )


def _to_priority(rank: int | None) -> int | None:
    """Return the priority of a rank; the most urgent rank is 0."""
    return None if rank is None else -rank


def _to_route_kind(kind_name: str) -> RouteKind:
    if kind_name in {'rollout', 'batch'}:
        return RouteKind.BATCH
    if kind_name == 'streaming':
        return RouteKind.STREAM
    return RouteKind.REQUEST


def _to_service(wire: _WireService) -> Service:
    kind = ServiceKind.PLAIN if wire.engine is None else ServiceKind.ENGINE
    return Service(
        name=ids.ServiceName(wire.name),
        kind=kind,
        zone_scale=_to_zone_scale(wire),
        cold_start=_to_cold_start(wire),
    )


def _to_cold_start(wire: _WireService) -> ColdStart | None:
    """Return the terms of cold endpoints, None if they never are cold."""
    if wire.cold_start_s <= 0.0:
        return None
    return ColdStart(
        duration_s=wire.cold_start_s, rate_per_s=max(wire.cold_per_s, 0.0)
    )


def _to_zone_scale(wire: _WireService) -> ZoneScale | None:
    """Return the limits of a scaled service, None if it is not scaled.

    Invalid limits are logged and the service is not scaled, so that the rest
    of the configuration still comes into force.
    """
    if wire.scale is None:
        return None
    try:
        scale = convert_value(wire.scale, _WireScale, strict=False)
    except MalformedDataError as error:
        _log.error('scale_unreadable', service=wire.name, error=str(error))
        return None
    return ZoneScale(
        min_endpoint_count=scale.min,
        max_endpoint_count=max(scale.max, scale.min),
        start_up_s=scale.boot_s,
    )
