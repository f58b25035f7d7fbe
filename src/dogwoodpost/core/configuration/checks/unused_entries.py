"""Services, keys, accounts and regions that no request can use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.checks.check_finding import info
from dogwoodpost.core.configuration.checks.check_finding import warning

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.configuration.checks.check_context import (
        CheckContext,
    )
    from dogwoodpost.core.configuration.checks.check_finding import (
        CheckFinding,
    )
    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.core.configuration.model import Route


def chosen_services(route: Route) -> tuple[ids.ServiceName, ...]:
    """Return the services that requests of a route are sent to."""
    weighted = route.weighted_services
    if sum(entry.weight for entry in weighted) <= 0:
        return (route.service,)
    return tuple(entry.service for entry in weighted if entry.weight > 0)


def unused_entries(
    configuration: Configuration, context: CheckContext
) -> Iterator[CheckFinding]:
    """Yield a finding for each entry that has no use."""
    yield from _services(configuration)
    yield from _splits(configuration)
    yield from _keys(configuration)
    if context.needs_listed_accounts:
        yield from _routes_without_accounts(configuration)
    yield from _regions_without_zone(configuration, context)
    yield from _regions_without_overlap(configuration)


def _services(configuration: Configuration) -> Iterator[CheckFinding]:
    used: set[ids.ServiceName] = set()
    for route in configuration.routes.values():
        for service in chosen_services(route):
            used.add(service)
            if service not in configuration.services:
                yield warning(
                    f'routes.{route.name}',
                    f'the service {service!r} is not declared',
                    'declare it or name another one',
                )
    for name in configuration.services:
        if name not in used:
            yield warning(
                f'services.{name}',
                'no route sends requests to the service',
                'add a route or remove the service',
            )


def _splits(configuration: Configuration) -> Iterator[CheckFinding]:
    for route in configuration.routes.values():
        for index, weighted in enumerate(route.weighted_services):
            if weighted.weight <= 0:
                yield warning(
                    f'routes.{route.name}.weighted_services.{index}',
                    f'the weight of {weighted.service} is {weighted.weight}, '
                    'so no request is sent to it by weight',
                    'state a weight of 1 or more, or remove the entry',
                )


def _keys(configuration: Configuration) -> Iterator[CheckFinding]:
    accounts = configuration.client_accounts
    accounts_with_keys: set[ids.ClientAccountId] = set()
    for key in configuration.keys.values():
        if not key.revoked:
            accounts_with_keys.add(key.client_account_id)
        account = accounts.get(key.client_account_id)
        if account is None:
            yield warning(
                f'keys.{key.key_id[:12]}',
                f'its client account {key.client_account_id!r} does not exist',
                'remove the key or add the account',
            )
        elif not account.enabled and not key.revoked:
            yield warning(
                f'keys.{key.key_id[:12]}',
                f'its client account {key.client_account_id!r} is disabled',
                'enable the account or revoke the key',
            )
    for account_id in accounts:
        if account_id not in accounts_with_keys:
            yield info(
                f'client_accounts.{account_id}',
                'the client account has no valid key',
                'issue a key or remove the account',
            )


def _routes_without_accounts(
    configuration: Configuration,
) -> Iterator[CheckFinding]:
    enabled = {
        account_id
        for account_id, account in configuration.client_accounts.items()
        if account.enabled
    }
    for route in configuration.routes.values():
        if route.open_to_all:
            continue
        if enabled.isdisjoint(route.client_account_ids):
            yield warning(
                f'routes.{route.name}.client_account_ids',
                'no enabled client account may use the route',
                'list an account or open the route to all',
            )


def _limited_entries(
    configuration: Configuration,
) -> Iterator[tuple[str, AllowedRegions]]:
    for route in configuration.routes.values():
        yield f'routes.{route.name}.allowed_regions', route.allowed_regions
    for account in configuration.client_accounts.values():
        place = f'client_accounts.{account.client_account_id}.allowed_regions'
        yield place, account.allowed_regions


def _regions_without_zone(
    configuration: Configuration, context: CheckContext
) -> Iterator[CheckFinding]:
    known = None
    if context.region_by_zone is not None:
        known = frozenset(context.region_by_zone.values())
    for place, allowed in _limited_entries(configuration):
        if allowed.regions is None:
            continue
        if not allowed.regions:
            yield warning(place, 'no region is allowed', 'allow a region')
        elif known is not None and not allowed.regions <= known:
            names = ', '.join(sorted(allowed.regions - known))
            yield warning(
                place,
                f'no availability zone is in {names}',
                'correct the name of the region or remove it',
            )


def _regions_without_overlap(
    configuration: Configuration,
) -> Iterator[CheckFinding]:
    """Yield routes that no account may use in any region, and the reverse.

    Comparing with the union of the other side keeps this linear.
    """
    routes = configuration.routes.values()
    accounts = configuration.client_accounts.values()
    account_regions = _union(account.allowed_regions for account in accounts)
    closed_routes = [route for route in routes if not route.open_to_all]
    route_regions = _union(route.allowed_regions for route in closed_routes)
    if accounts and account_regions is not None:
        for route in closed_routes:
            regions = route.allowed_regions.regions
            if regions and regions.isdisjoint(account_regions):
                yield warning(
                    f'routes.{route.name}.allowed_regions',
                    'no client account allows one of these regions',
                    'allow a region that both allow',
                )
    if closed_routes and route_regions is not None:
        for account in accounts:
            regions = account.allowed_regions.regions
            if regions and regions.isdisjoint(route_regions):
                yield warning(
                    f'client_accounts.{account.client_account_id}'
                    '.allowed_regions',
                    'no route that needs a key allows one of these regions',
                    'allow a region that both allow',
                )


def _union(
    all_allowed: Iterable[AllowedRegions],
) -> frozenset[ids.Region] | None:
    """Return the regions that any entry allows, None if one allows all."""
    regions: set[ids.Region] = set()
    for allowed in all_allowed:
        if allowed.regions is None:
            return None
        regions |= allowed.regions
    return frozenset(regions)
