"""Checks callers' requests and converts them into pipeline requests."""

from __future__ import annotations

import re
import uuid
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.http.authentication import account_of
from dogwoodpost.services.entry.http.authentication import presented_key
from dogwoodpost.services.entry.http.completion import ENGINE_PATHS
from dogwoodpost.services.entry.http.completion import parse_completion
from dogwoodpost.services.entry.http.header_filter import contains_key
from dogwoodpost.services.entry.http.header_filter import request_headers
from dogwoodpost.services.entry.http.request_body import BodyMemory
from dogwoodpost.services.entry.http.route_table import matching_routes
from dogwoodpost.services.entry.http.route_table import path_segments
from dogwoodpost.services.entry.http.route_table import route_for_model
from dogwoodpost.services.entry.pipeline_request import PipelineRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp import web

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Route
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.services.entry.http.active_requests import ActiveRequest
    from dogwoodpost.services.entry.http.authentication import Authenticator
    from dogwoodpost.services.entry.http.authentication import Identity
    from dogwoodpost.services.entry.http.completion import CompletionRequest
    from dogwoodpost.services.entry.http.request_body import BodyReservation

REQUEST_ID_HEADER = 'Dogwoodpost-Request-Id'
_IDEMPOTENT_HEADER = 'Dogwoodpost-Idempotent'
_TIMEOUT_HEADER = 'Dogwoodpost-Timeout-Ms'
_REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,128}')
_TIMEOUT_MS_PATTERN = re.compile(r'[1-9][0-9]{0,9}')
_MS_PER_S = 1_000.0


class RequestReader:
    """Reads and checks the requests of callers."""

    def __init__(
        self,
        source: ConfigurationSource,
        authenticator: Authenticator,
        settings: EntrySettings,
    ) -> None:
        self._source = source
        self._authenticator = authenticator
        self._settings = settings
        self.memory = BodyMemory()

    async def read(
        self,
        request: web.Request,
        active: ActiveRequest,
        reservation: BodyReservation,
    ) -> PipelineRequest:
        """Return the checked request.

        :raises RequestError: the request is refused.
        """
        raw_path = request.raw_path
        segments = path_segments(raw_path)
        configuration = self._source.current()
        routes = matching_routes(configuration, segments)
        if not all(route.open_to_all for route in routes):
            if not any(route.open_to_all for route in routes):
                active.identity = self._authenticator.identify(request)
        body = await reservation.read(
            request,
            self._max_body_bytes(routes),
            self._settings.body_timeout_s,
        )
        # The configuration may have changed while the body was being read.
        configuration = self._source.current()
        routes = matching_routes(configuration, segments)
        route, completion = _select_route(configuration, routes, request, body)
        active.identity = self._check_access(request, route)
        _check_body_size(route, body)
        return self._build_pipeline_request(
            request, configuration, route, completion, body, active.identity
        )

    def _max_body_bytes(self, routes: Sequence[Route]) -> int:
        largest_limit_bytes = max(route.max_body_bytes for route in routes)
        return min(largest_limit_bytes, self._settings.max_body_bytes)

    def _check_access(
        self, request: web.Request, route: Route
    ) -> Identity | None:
        if route.open_to_all:
            return None
        identity = self._authenticator.identify(request)
        if identity.client_account_id not in route.client_account_ids:
            raise RequestError(
                'route_forbidden',
                'the client account has no access to the route',
                status=403,
                not_run=True,
            )
        return identity

    def _build_pipeline_request(
        self,
        request: web.Request,
        configuration: Configuration,
        route: Route,
        completion: CompletionRequest | None,
        body: bytes,
        identity: Identity | None,
    ) -> PipelineRequest:
        service = configuration.services[route.service]
        account = account_of(configuration, identity)
        key = _key_to_strip(request, route)
        path = request.raw_path
        if completion is not None:
            path = _engine_path(route, request.raw_path)
            body = completion.body(route.priority)
        _check_key_absent(path, body, key)
        result = PipelineRequest(
            request_id=_request_id(request),
            route=route,
            service=service,
            client_account_id=(
                identity.client_account_id if identity else None
            ),
            limits=account.limits if account else Limits(),
            method=request.method,
            path=path,
            headers=request_headers(
                request.headers.items(), key, service.kind
            ),
            body=body,
            timeout_s=_timeout_s(request, route),
            idempotent=route.idempotent and _is_idempotent(request),
            priority=route.priority,
            is_client_request=True,
        )
        if completion is None:
            return result
        return msgspec.structs.replace(
            result,
            prefix=completion.prefix,
            prompt_tokens=completion.prompt_tokens,
            cost_tokens=completion.cost_tokens,
            min_weight_version=completion.min_weight_version,
            whole_response=not completion.stream,
        )


def _select_route(
    configuration: Configuration,
    routes: Sequence[Route],
    request: web.Request,
    body: bytes,
) -> tuple[Route, CompletionRequest | None]:
    """Return the route, and the parsed body if an engine serves the route."""
    for route in routes:
        service = configuration.services[route.service]
        if service.kind is ServiceKind.PLAIN:
            return route, None
    path = _engine_path(routes[0], request.raw_path)
    if request.method != 'POST':
        raise RequestError(
            'method_not_allowed',
            'the path accepts POST only',
            status=405,
            not_run=True,
        )
    completion = parse_completion(path, body)
    route = route_for_model(configuration, routes, completion.model)
    return route, completion


def _engine_path(route: Route, raw_path: str) -> str:
    """Return the path at the engine.

    The path of the request may have the route's prefix in front of it.

    :raises RequestError: the engine has no such path.
    """
    path = raw_path.partition('?')[0]
    if path in ENGINE_PATHS:
        return path
    path_after_prefix = path.removeprefix('/' + route.path_prefix.strip('/'))
    if path_after_prefix in ENGINE_PATHS:
        return path_after_prefix
    raise RequestError(
        'unknown_route',
        'engines have no such path',
        status=404,
        not_run=True,
    )


def _key_to_strip(request: web.Request, route: Route) -> str | None:
    """Return the key that must not be passed on to an endpoint.

    Routes open to all ignore a malformed Authorization header.
    """
    try:
        return presented_key(request)
    except RequestError:
        if route.open_to_all:
            return None
        raise


def _check_body_size(route: Route, body: bytes) -> None:
    if len(body) > route.max_body_bytes:
        raise RequestError(
            'body_too_large',
            f'the body is larger than {route.max_body_bytes} bytes',
            status=413,
            not_run=True,
        )


def _check_key_absent(path: str, body: bytes, key: str | None) -> None:
    if key is None:
        return
    if key.encode('utf-8', 'surrogateescape') in body or contains_key(
        path, key
    ):
        raise RequestError(
            'key_in_request',
            'the key may be sent in the Authorization header only',
            status=400,
            not_run=True,
        )


def _request_id(request: web.Request) -> ids.RequestId:
    value = request.headers.get(REQUEST_ID_HEADER)
    if value is None:
        return ids.RequestId(uuid.uuid4().hex)
    if not _REQUEST_ID_PATTERN.fullmatch(value):
        raise _bad_header(REQUEST_ID_HEADER)
    return ids.RequestId(value)


def _is_idempotent(request: web.Request) -> bool:
    value = request.headers.get(_IDEMPOTENT_HEADER, 'true').lower()
    if value not in {'true', 'false'}:
        raise _bad_header(_IDEMPOTENT_HEADER)
    return value == 'true'


def _timeout_s(request: web.Request, route: Route) -> float:
    value = request.headers.get(_TIMEOUT_HEADER)
    if value is None:
        return route.timeout_ms / _MS_PER_S
    if not _TIMEOUT_MS_PATTERN.fullmatch(value):
        raise _bad_header(_TIMEOUT_HEADER)
    return min(int(value), route.timeout_ms) / _MS_PER_S


def _bad_header(name: str) -> RequestError:
    return RequestError(
        'bad_header',
        f'the value of {name} is not valid',
        status=400,
        not_run=True,
    )
