"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Route

_DOT_SEGMENTS = frozenset({'.', '..'})


def path_segments(raw_path: str) -> tuple[str, ...]:
    """Return the decoded segments of a path without its query.

    :raises RequestError: the path could mean another one to the endpoint.
    """
    path = raw_path.partition('?')[0]
    segments = tuple(unquote(part) for part in path.split('/')[1:])
    for segment in segments:
        parts = segment.replace('\\', '/').split('/')
        control = any(ord(character) < 32 for character in segment)
        if control or _DOT_SEGMENTS.intersection(parts):
            raise RequestError(
                'bad_path',
                'the path has dot segments or control characters',
                status=400,
                not_run=True,
            )
    return segments


def matching_routes(
    configuration: Configuration, segments: Sequence[str]
) -> list[Route]:
    """Return the routes of the longest path prefix.

    :raises RequestError: no route matches.
    """
    best: list[Route] = []
    best_length = -1
    for route in configuration.routes.values():
        prefix = _prefix_segments(route.path_prefix)
        if tuple(segments[: len(prefix)]) != prefix:
            continue
        if len(prefix) > best_length:
            best = []
            best_length = len(prefix)
        if len(prefix) == best_length:
            best.append(route)
    if not best:
        raise RequestError(
            'unknown_route',
            'no route has this path',
            status=404,
            not_run=True,
        )
    return best


def route_for_model(
    configuration: Configuration, routes: Sequence[Route], model: str
) -> Route:
    """Return the route of a model among those of one path prefix.

    :raises RequestError: no route serves the model.
    """
    any_model: Route | None = None
    for route in routes:
        service = configuration.services[route.service]
        if service.kind is not ServiceKind.ENGINE:
            continue
        served = route.model or service.model
        if served == model:
            return route
        if served is None:
            any_model = route
    if any_model is not None:
        return any_model
    raise RequestError(
        'unknown_model',
        'no route with this path serves the model',
        status=404,
        not_run=True,
    )


def _prefix_segments(path_prefix: str) -> tuple[str, ...]:
    stripped = path_prefix.strip('/')
    return tuple(stripped.split('/')) if stripped else ()
