"""Which endpoints change to a new weight version, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.routing import Endpoint

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

# Loads slow one another beyond this share of the endpoints.
_PARALLEL_SHARE = 0.4
_MIN_PARALLEL_COUNT = 2
# The step after the newest one may come at once and needs these; the others
# start the items of the newest one meanwhile.
_FIRST_SHARE = 1 / 3


class PlannedLoad(msgspec.Struct, frozen=True):
    """A load of one model's version on one endpoint."""

    endpoint: Endpoint
    model: ids.ModelName
    version: ids.WeightVersion

    @property
    def can_serve_newest_step(self) -> bool:
        """Return whether the endpoint can serve the version's step already."""
        current = self.endpoint.version_of(self.model)
        return current is not None and current >= self.version - 1


def max_parallel_loads(endpoint_count: int) -> int:
    """Return how many loads may run at once without slowing each other."""
    share = round(endpoint_count * _PARALLEL_SHARE)
    return max(share, _MIN_PARALLEL_COUNT)


def plan_loads(
    named: Mapping[ids.ModelName, ids.WeightVersion],
    endpoints: Sequence[Endpoint],
    settled: Collection[ids.ModelName],
) -> list[PlannedLoad]:
    """Return the loads that are due, the most urgent first.

    A step that waits for version k also takes tokens of version k - 1, and
    an endpoint starts nothing while it loads. Endpoints that can't serve the
    newest step load at once, and so does a third of those that can, for a
    step that follows soon. The others load once the newest step's items have
    their places, so that they can serve the next one from its start. Each
    version is loaded on a model's share of the fleet, the most outdated
    endpoints first.

    The next load always goes to the model with the fewest endpoints that can
    serve its newest step: models whose versions come in quick succession
    would otherwise hold up the others.

    :param settled: models whose newest step has had time to start its items.
    """
    live = [one for one in endpoints if not one.draining]
    loads: list[PlannedLoad] = []
    waiting = {
        model: _due(
            model,
            version,
            live,
            model_count=len(named),
            is_settled=model in settled,
        )
        for model, version in named.items()
    }
    serving = {
        model: _serving_count(model, version, live)
        for model, version in named.items()
    }
    while any(waiting.values()):
        model = min(
            (one for one, due in waiting.items() if due),
            key=lambda one: (serving[one], one),
        )
        endpoint = waiting[model].pop(0)
        serving[model] += 1
        loads.append(PlannedLoad(endpoint, model, named[model]))
    return loads


def _due(
    model: ids.ModelName,
    version: ids.WeightVersion,
    endpoints: Sequence[Endpoint],
    *,
    model_count: int,
    is_settled: bool,
) -> list[Endpoint]:
    """Return the endpoints to load a version on, the most outdated first."""
    known: list[tuple[int, str, Endpoint]] = []
    for endpoint in endpoints:
        current = endpoint.version_of(model)
        if current is not None:
            known.append((current, endpoint.endpoint_id, endpoint))
    known.sort(key=lambda one: one[:2])
    wanted = max(round(len(known) / model_count), 1)
    loaded_count = sum(one[0] >= version for one in known)
    behind = [one for one in known if one[0] < version]
    behind = behind[: max(wanted - loaded_count, 0)]
    if not is_settled:
        idle_count = sum(one[0] < version - 1 for one in behind)
        serving_count = _serving_count(model, version, endpoints)
        first_count = max(round(serving_count * _FIRST_SHARE), 1)
        behind = behind[: max(idle_count, first_count - loaded_count)]
    return [endpoint for _, _, endpoint in behind]


def _serving_count(
    model: ids.ModelName,
    version: ids.WeightVersion,
    endpoints: Sequence[Endpoint],
) -> int:
    """Return how many endpoints can serve the step of a version."""
    oldest = version - 1
    return sum((one.version_of(model) or 0) >= oldest for one in endpoints)
