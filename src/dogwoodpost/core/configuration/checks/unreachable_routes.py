"""Routes that no request can match."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.checks.check_context import RouteMatching
from dogwoodpost.core.configuration.checks.check_finding import info
from dogwoodpost.core.configuration.checks.check_finding import warning
from dogwoodpost.core.configuration.model import ServiceKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration.checks.check_finding import (
        CheckFinding,
    )
    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.core.configuration.model import Route

# A request's path has no space, and its query starts at the question mark.
_NOT_IN_PATH = re.compile(r'[\s?]')
_DOT_SEGMENTS = frozenset({'.', '..'})


def unreachable_routes(
    configuration: Configuration, matching: RouteMatching
) -> Iterator[CheckFinding]:
    """Yield a finding for each route that is never selected."""
    if matching is RouteMatching.HOST_AND_PREFIX:
        yield from _by_host_and_prefix(configuration)
    else:
        yield from _by_segments_and_model(configuration)


def _by_host_and_prefix(
    configuration: Configuration,
) -> Iterator[CheckFinding]:
    first_routes: dict[tuple[str, str], ids.RouteName] = {}
    for route in configuration.routes.values():
        place = f'routes.{route.name}'
        prefix = route.path_prefix
        if not route.host:
            yield info(
                f'{place}.host',
                'empty, so only requests without a host match',
                'name the virtual host',
            )
        if ':' in route.host:
            yield warning(
                f'{place}.host',
                f'{route.host!r} never matches, because the port of a '
                'request is ignored',
                'remove the port',
            )
        if (prefix and not prefix.startswith('/')) or _NOT_IN_PATH.search(
            prefix
        ):
            yield warning(
                f'{place}.path_prefix',
                f'{prefix!r} never matches the path of a request',
                'state a path that starts with "/", without "?" and spaces',
            )
        match = (route.host.lower(), prefix)
        first = first_routes.setdefault(match, route.name)
        if first != route.name:
            yield _hidden(route, first, 'host and path prefix')


def _by_segments_and_model(
    configuration: Configuration,
) -> Iterator[CheckFinding]:
    groups: dict[tuple[str, ...], list[Route]] = {}
    for route in configuration.routes.values():
        segments = tuple(route.path_prefix.strip('/').split('/'))
        if '.' in route.path_prefix and any(
            _DOT_SEGMENTS.intersection(segment.replace('\\', '/').split('/'))
            for segment in segments
        ):
            yield warning(
                f'routes.{route.name}.path_prefix',
                f'{route.path_prefix!r} never matches, because paths with '
                'dot segments are refused',
                'remove the dot segments',
            )
        if route.service in configuration.services:
            groups.setdefault(segments, []).append(route)
    for routes in groups.values():
        if len(routes) > 1:
            yield from _hidden_in_group(routes, configuration)


def _hidden_in_group(
    routes: list[Route], configuration: Configuration
) -> Iterator[CheckFinding]:
    """Yield the hidden ones of the routes of one path prefix.

    The first route to a plain service takes all requests; without one, the
    first route for the requested model does.
    """
    plain = next(
        (
            route
            for route in routes
            if configuration.services[route.service].kind is ServiceKind.PLAIN
        ),
        None,
    )
    first_routes: dict[str | None, ids.RouteName] = {}
    for route in routes:
        if plain is not None and route is not plain:
            yield _hidden(route, plain.name, 'path prefix')
        elif plain is None:
            model = route.model or configuration.services[route.service].model
            first = first_routes.get(model)
            if first is None:
                first_routes[model] = route.name
            elif model is not None:
                yield _hidden(route, first, 'path prefix and model')


def _hidden(route: Route, first: ids.RouteName, what: str) -> CheckFinding:
    return warning(
        f'routes.{route.name}',
        f'hidden by route {first}, which comes first with the same {what}',
        'remove one of them or change what it matches',
    )
