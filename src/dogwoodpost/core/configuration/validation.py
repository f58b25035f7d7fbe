"""Validation of the configuration as a whole."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.model import ServiceKind
from dogwoodpost.core.findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.configuration.model import ClientAccount
    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.core.configuration.model import KeyRecord
    from dogwoodpost.core.configuration.model import Route
    from dogwoodpost.core.configuration.model import Service

NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
PATH_PREFIX = re.compile(r'/[!-~]*')
MAX_TIMEOUT_MS = 3_600_000
MAX_BODY_BYTES = 1024 * 1024 * 1024
MAX_COUNT = 1_000_000
MAX_TOKENS = 10**12
MAX_WEIGHT = 1e6

# Prefixes that the entry itself serves, so no route may use them.
RESERVED_PREFIXES = ('/rollouts/v1', '/metrics', '/healthz')


def validate(configuration: Configuration) -> list[Finding]:
    """Return all violations, sorted by place."""
    findings: list[Finding] = []
    for account in configuration.client_accounts.values():
        findings += _check_account(account)
    for key in configuration.keys.values():
        findings += _check_key(key, configuration)
    findings += _check_digests(configuration)
    for service in configuration.services.values():
        findings += _check_service(service)
    for route in configuration.routes.values():
        findings += _check_route(route, configuration)
    findings += _check_route_overlap(configuration)
    return sorted(findings, key=lambda finding: finding.place)


def _check_account(account: ClientAccount) -> Iterator[Finding]:
    place = f'client_accounts.{account.client_account_id}'
    yield from _check_name(place, account.client_account_id)
    limits = account.limits
    yield from _check_range(
        f'{place}.limits.max_concurrency', limits.max_concurrency, 1, MAX_COUNT
    )
    yield from _check_range(
        f'{place}.limits.token_rate_per_s',
        limits.token_rate_per_s,
        1,
        MAX_TOKENS,
    )
    yield from _check_range(
        f'{place}.limits.token_burst_tokens',
        limits.token_burst_tokens,
        1,
        MAX_TOKENS,
    )
    yield from _check_range(
        f'{place}.limits.max_queued_count',
        limits.max_queued_count,
        0,
        MAX_COUNT,
    )
    yield from _check_range(
        f'{place}.limits.weight', limits.weight, 0.001, MAX_WEIGHT
    )


def _check_key(
    key: KeyRecord, configuration: Configuration
) -> Iterator[Finding]:
    place = f'keys.{key.key_id}'
    yield from _check_name(place, key.key_id)
    # A restored revision may lack the client account of a key that has been
    # revoked since.
    account_exists = key.client_account_id in configuration.client_accounts
    if not account_exists and not key.revoked:
        yield Finding(
            f'{place}.client_account_id',
            repr(key.client_account_id),
            'an existing client account',
        )
    if not key.digest:
        yield Finding(f'{place}.digest', 'nothing', 'a digest')


def _check_digests(configuration: Configuration) -> Iterator[Finding]:
    digests: set[str] = set()
    for key in configuration.keys.values():
        if key.digest in digests:
            yield Finding(
                f'keys.{key.key_id}.digest',
                'the digest of another key',
                'a digest of its own',
            )
        digests.add(key.digest)


def _check_service(service: Service) -> Iterator[Finding]:
    place = f'services.{service.name}'
    yield from _check_name(place, service.name)
    is_engine = service.kind is ServiceKind.ENGINE
    if is_engine and not service.model:
        yield Finding(f'{place}.model', 'nothing', 'the model of the engines')
    if not is_engine and service.model is not None:
        yield Finding(
            f'{place}.model',
            repr(service.model),
            'no model at a plain service',
        )
    yield from _check_range(
        f'{place}.endpoint_concurrency',
        service.endpoint_concurrency,
        1,
        MAX_COUNT,
    )
    yield from _check_range(
        f'{place}.min_endpoint_count', service.min_endpoint_count, 0, MAX_COUNT
    )
    yield from _check_range(
        f'{place}.max_endpoint_count',
        service.max_endpoint_count,
        service.min_endpoint_count,
        MAX_COUNT,
    )
    yield from _check_range(
        f'{place}.endpoint_cost_per_hour',
        service.endpoint_cost_per_hour,
        0,
        MAX_WEIGHT,
    )


def _check_route(
    route: Route, configuration: Configuration
) -> Iterator[Finding]:
    place = f'routes.{route.name}'
    yield from _check_name(place, route.name)
    yield from _check_route_service(route, configuration)
    if not PATH_PREFIX.fullmatch(route.path_prefix):
        yield Finding(
            f'{place}.path_prefix',
            repr(route.path_prefix),
            'a path of visible ASCII characters that starts with "/"',
        )
    if route.path_prefix.startswith(RESERVED_PREFIXES):
        yield Finding(
            f'{place}.path_prefix',
            repr(route.path_prefix),
            f'a prefix outside {", ".join(RESERVED_PREFIXES)}',
        )
    for index, client_account_id in enumerate(route.client_account_ids):
        if client_account_id not in configuration.client_accounts:
            yield Finding(
                f'{place}.client_account_ids.{index}',
                repr(client_account_id),
                'an existing client account',
            )
    if route.open_to_all and route.client_account_ids:
        yield Finding(
            f'{place}.client_account_ids',
            'client accounts on a route open to all',
            'an empty list',
        )
    yield from _check_range(
        f'{place}.max_body_bytes', route.max_body_bytes, 1, MAX_BODY_BYTES
    )
    yield from _check_range(
        f'{place}.timeout_ms', route.timeout_ms, 1, MAX_TIMEOUT_MS
    )
    yield from _check_range(f'{place}.priority', route.priority, -100, 100)


def _check_route_service(
    route: Route, configuration: Configuration
) -> Iterator[Finding]:
    place = f'routes.{route.name}'
    service = configuration.services.get(route.service)
    if service is None:
        yield Finding(
            f'{place}.service', repr(route.service), 'a declared service'
        )
    elif route.model is not None and route.model != service.model:
        yield Finding(
            f'{place}.model',
            repr(route.model),
            f'the model of service {service.name}: {service.model!r}',
        )


def _check_route_overlap(configuration: Configuration) -> Iterator[Finding]:
    route_names: dict[tuple[str, str | None], str] = {}
    for name, route in sorted(configuration.routes.items()):
        match = (route.path_prefix, route.model)
        if match in route_names:
            yield Finding(
                f'routes.{name}.path_prefix',
                f'the path prefix and model of route {route_names[match]}',
                'a path prefix and model of its own',
            )
        route_names.setdefault(match, name)


def _check_name(place: str, name: str) -> Iterator[Finding]:
    if not NAME.fullmatch(name):
        yield Finding(
            place,
            repr(name),
            'a name of up to 128 letters, digits, ".", "_" and "-"',
        )


def _check_range(
    place: str, value: float, lowest: float, highest: float
) -> Iterator[Finding]:
    # NaN is rejected as well, because any comparison with it is false.
    if not lowest <= value <= highest:
        yield Finding(place, str(value), f'{lowest} to {highest}')
