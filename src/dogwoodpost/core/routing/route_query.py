"""What the router has to place."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to place.

    :param prefix: hashes of the prompt's prefix blocks.
    :param volume_bytes: request and expected response, for the charge
        between regions.
    :param concurrency: requests that one endpoint of the service runs well,
        where the endpoint itself does not tell.
    :param model: whose weight version is asked for; None where an endpoint
        has only one model.
    :param requires_free_slot: refuse full endpoints, because the request can
        wait.
    :param passed_over_s: how long the request has been passed over in favour
        of others, while it waited for a better endpoint.
    :param account_underserved: the client account has had less than others
        elsewhere.
    :param waiting_count: requests of the service that wait before this one.
    :param may_probe: may be sent to an endpoint whose recovery is uncertain;
        false for work that must not run twice.
    """

    service: ids.ServiceName
    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    volume_bytes: int = 0
    concurrency: int = 32
    model: ids.ModelName | None = None
    min_weight_version: ids.WeightVersion | None = None
    excluded: frozenset[ids.EndpointId] = frozenset()
    requires_free_slot: bool = True
    passed_over_s: float = 0.0
    account_underserved: bool = False
    waiting_count: int = 0
    may_probe: bool = True


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """What an ended attempt tells of its endpoint.

    :param failed: the endpoint or its agent failed.
    :param conclusive: the endpoint had its chance; false for attempts that
        were cancelled or refused for reasons that are not its own.
    :param duration_s: time spent waiting for the endpoint.
    :param work_units: size of the work, in tokens or requests.
    """

    failed: bool
    conclusive: bool = True
    duration_s: float = 0.0
    work_units: float = 0.0
