"""The input of the request pipeline."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import MIN_COST_TOKENS
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service


class PipelineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A validated request; its headers don't contain the caller's key.

    :param client_account_id: None on routes open to all.
    :param path: path with the query string.
    :param timeout_s: time limit of the request over all its attempts.
    :param prefix: hashes of the prompt's prefix blocks.
    :param prompt_tokens: estimated length of the prompt.
    :param cost_tokens: estimated cost.
    :param min_weight_version: lowest weight version of an endpoint that may
        run the request.
    :param excluded: endpoints that must not run the request.
    :param allowed_regions: limits the regions in addition to the current
        limits of the route and the client account.
    :param max_attempt_count: maximum number of attempts; None for the
        pipeline's own limit.
    :param free_not_run_count: number of attempts which no endpoint ran that
        are not counted towards ``max_attempt_count``.
    :param attempt_timeout_s: time to wait for the head of a response before
        an idempotent request is retried at another endpoint.
    :param event_timeout_s: time to wait for the next event before a resumable
        stream is resumed at another endpoint.
    :param whole_response: forward nothing before the response is complete, so
        that the request can still be retried after a partial response.
    :param is_client_request: whether a client waits for the response, and not
        this process itself; only then a second attempt may be sent beside a
        slow one.
    :param max_idle_s: longest time since a kept connection was heard from, in
        seconds; None for any time.
    """

    request_id: ids.RequestId
    route: Route
    service: Service
    client_account_id: ids.ClientAccountId | None
    limits: Limits = Limits()
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    timeout_s: float
    idempotent: bool = True
    priority: int = 0
    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    cost_tokens: float = MIN_COST_TOKENS
    min_weight_version: ids.WeightVersion | None = None
    excluded: frozenset[ids.EndpointId] = frozenset()
    allowed_regions: AllowedRegions = ANY_REGION
    max_attempt_count: int | None = None
    free_not_run_count: int = 0
    attempt_timeout_s: float | None = None
    event_timeout_s: float | None = None
    whole_response: bool = False
    is_client_request: bool = False
    max_idle_s: float | None = None
