"""Limits that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.checks.check_finding import info
from dogwoodpost.core.configuration.checks.check_finding import warning
from dogwoodpost.core.configuration.checks.unused_entries import (
    chosen_services,
)
from dogwoodpost.core.configuration.model import RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.configuration.checks.check_context import (
        CheckContext,
    )
    from dogwoodpost.core.configuration.checks.check_finding import (
        CheckFinding,
    )
    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.core.configuration.model import Route
    from dogwoodpost.core.configuration.model import Service

_MS_PER_S = 1_000


def contradicting_limits(
    configuration: Configuration, context: CheckContext
) -> Iterator[CheckFinding]:
    """Yield a finding for each limit that another one defeats."""
    for route in configuration.routes.values():
        yield from _attempts(route, configuration, context)
        place = f'routes.{route.name}'
        lifetime_ms = route.item_lifetime_s * _MS_PER_S
        if route.kind is RouteKind.BATCH and route.due_ms > lifetime_ms:
            yield warning(
                f'{place}.due_ms',
                f'{route.due_ms} ms is above the lifetime of an item, '
                f'{route.item_lifetime_s} s',
                'raise the lifetime or lower the due time',
            )
        if route.max_attempt_count > 1:
            continue
        if route.resumable:
            yield warning(
                f'{place}.resumable',
                'a stream can not resume with one attempt',
                'allow 2 attempts or more',
            )
        if (
            context.hedging_enabled
            and route.kind is RouteKind.REQUEST
            and route.idempotent
        ):
            yield info(
                f'{place}.max_attempt_count',
                'hedging is on, but one attempt leaves no second send',
                'allow 2 attempts or more if the route should be hedged',
            )


def _attempts(
    route: Route, configuration: Configuration, context: CheckContext
) -> Iterator[CheckFinding]:
    total = 0
    for name in chosen_services(route):
        service = configuration.services.get(name)
        count = None if service is None else _endpoint_count(service, context)
        if count is None:
            return
        # A request stays with one service, so the largest one decides.
        total = max(total, count)
    if route.max_attempt_count > total:
        yield warning(
            f'routes.{route.name}.max_attempt_count',
            f'{route.max_attempt_count} attempts, but the service has at most '
            f'{total} endpoints',
            'lower the attempts or allow more endpoints',
        )


def _endpoint_count(service: Service, context: CheckContext) -> int | None:
    """Return the largest number of endpoints, None if it is not known."""
    if service.zone_scale is not None:
        if not context.region_by_zone:
            return None
        zone_count = len(context.region_by_zone)
        return service.zone_scale.max_endpoint_count * zone_count
    if context.states_endpoint_counts:
        return service.max_endpoint_count
    return None
