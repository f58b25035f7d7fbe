"""A request as the pipeline takes it."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import MIN_COST_TOKENS
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service


class PipelineRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that passed all checks; holds no caller's key.

    :param client_account_id: None on routes open to all.
    :param path: with the query string.
    :param prefix: hashes of the prompt's prefix blocks.
    :param cost_tokens: estimated cost.
    :param max_attempt_count: endpoints that it may run on; None for the
        pipeline's own limit.
    :param free_not_run_count: attempts that no endpoint ran and that do not
        count among ``max_attempt_count``.
    :param attempt_timeout_s: an idempotent request goes to another endpoint
        after so long without the head of a response.
    :param event_timeout_s: a stream that can be resumed goes on at another
        endpoint after so long without the next event.
    :param whole_response: pass nothing on before the response is complete, so
        that a failure in the middle can still be retried.
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
    max_attempt_count: int | None = None
    free_not_run_count: int = 0
    attempt_timeout_s: float | None = None
    event_timeout_s: float | None = None
    whole_response: bool = False
