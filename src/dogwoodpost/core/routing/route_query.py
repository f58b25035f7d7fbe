"""Input and feedback of the router."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of one attempt that the choice of an endpoint depends on.

    :param prefix: hashes of the prompt's prefix blocks.
    :param prompt_tokens: length of the prompt, in tokens.
    :param volume_bytes: size of the request and its expected response, for
        the charge between regions.
    :param concurrency: requests that one endpoint of the service can run at
        once, used where the endpoint itself reports no capacity.
    :param model: model to which ``min_weight_version`` applies; None where an
        endpoint has only one model.
    :param excluded: endpoints that must not be chosen.
    :param allowed_regions: regions of the endpoints that may be chosen.
    :param requires_free_slot: skip full endpoints; for requests that can wait
        in the queue instead.
    :param passed_over_s: time since the request was first left in the queue
        to wait for a better endpoint, while others may be placed.
    :param account_underserved: the client account has received less than
        others, counting the work of all entries.
    :param waiting_count: requests of the service that wait besides this one.
    :param may_probe: the attempt may be sent to an endpoint on probation;
        false for work that must not run twice.
    :param may_use_cold: the attempt may be sent to an endpoint that may be
        cold; false for work that need not be sent.
    """

    service: ids.ServiceName
    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    volume_bytes: int = 0
    concurrency: int = 32
    model: ids.ModelName | None = None
    min_weight_version: ids.WeightVersion | None = None
    excluded: frozenset[ids.EndpointId] = frozenset()
    allowed_regions: AllowedRegions = ANY_REGION
    requires_free_slot: bool = True
    passed_over_s: float = 0.0
    account_underserved: bool = False
    waiting_count: int = 0
    may_probe: bool = True
    may_use_cold: bool = True


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an attempt, as feedback on its endpoint.

    :param failed: the endpoint or its agent failed.
    :param timed_out: the failure is that nothing came in time.
    :param conclusive: the result counts for the health of the endpoint;
        false for attempts that were cancelled, or refused for reasons
        unrelated to the endpoint.
    :param duration_s: time spent waiting for the endpoint.
    :param work_units: size of the work, in tokens or requests.
    """

    failed: bool
    timed_out: bool = False
    conclusive: bool = True
    duration_s: float = 0.0
    work_units: float = 0.0
