"""Selects the route of a request by its path and model."""

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

    :raises RequestError: the path has dot segments, which the endpoint could
        resolve to another path, or control characters.
    """
    path = raw_path.partition('?')[0]
    segments = tuple(unquote(part) for part in path.split('/')[1:])
    for segment in segments:
        path_parts = segment.replace('\\', '/').split('/')
        has_control_character = any(
            ord(character) < 32 for character in segment
        )
        if has_control_character or _DOT_SEGMENTS.intersection(path_parts):
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
    """Return the routes with the longest matching path prefix.

    :raises RequestError: no route matches.
    """
    matches: list[Route] = []
    longest_length = -1
    for route in configuration.routes.values():
        prefix = _prefix_segments(route.path_prefix)
        if tuple(segments[: len(prefix)]) != prefix:
            continue
        if len(prefix) > longest_length:
            matches = []
            longest_length = len(prefix)
        if len(prefix) == longest_length:
            matches.append(route)
    if not matches:
        raise RequestError(
            'unknown_route',
            'no route has this path',
            status=404,
            not_run=True,
        )
    return matches


def route_for_model(
    configuration: Configuration, routes: Sequence[Route], model: str
) -> Route:
    """Return the route that serves a model.

    A route without a model of its own or of its service serves all models
    that no other route names.

    :param routes: the routes of one path prefix.

    :raises RequestError: no route serves the model.
    """
    fallback_route: Route | None = None
    for route in routes:
        service = configuration.services[route.service]
        if service.kind is not ServiceKind.ENGINE:
            continue
        served_model = route.model or service.model
        if served_model == model:
            return route
        if served_model is None:
            fallback_route = route
    if fallback_route is not None:
        return fallback_route
    raise RequestError(
        'unknown_model',
        'no route with this path serves the model',
        status=404,
        not_run=True,
    )


def _prefix_segments(path_prefix: str) -> tuple[str, ...]:
    stripped = path_prefix.strip('/')
    return tuple(stripped.split('/')) if stripped else ()
