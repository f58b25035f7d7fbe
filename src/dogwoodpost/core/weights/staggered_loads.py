"""Order in which endpoints load a new weight version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from dogwoodpost.core import ids
from dogwoodpost.core.routing import Endpoint

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

# If more than this share of the endpoints load at once, the loads slow each
# other down.
_PARALLEL_SHARE = 0.4
_MIN_PARALLEL_COUNT = 2
# The next training step may follow immediately and needs endpoints with the
# newest version. So this share of the endpoints that can serve the newest step
# loads early, while the others start the items of that step.
_EARLY_LOAD_SHARE = 1 / 3
# A step runs at endpoints with its version or the one before, each of which
# has an equal share of the endpoints.
_SERVING_VERSION_COUNT = 2


class PlannedLoad(msgspec.Struct, frozen=True):
    """A load of one weight version on one endpoint."""

    endpoint: Endpoint
    model: ids.ModelName
    version: ids.WeightVersion

    @property
    def can_serve_newest_step(self) -> bool:
        """Return whether the endpoint can serve the version's step without it.

        A step accepts tokens of its version and of the version before.
        """
        current = self.endpoint.version_of(self.model)
        return current is not None and current >= self.version - 1


def max_parallel_loads(endpoint_count: int) -> int:
    """Return how many loads can run at once without slowing each other."""
    share = round(endpoint_count * _PARALLEL_SHARE)
    return max(share, _MIN_PARALLEL_COUNT)


def plan_loads(
    target_versions: Mapping[ids.ModelName, ids.WeightVersion],
    endpoints: Sequence[Endpoint],
    settled_models: Collection[ids.ModelName],
) -> list[PlannedLoad]:
    """Return the loads that are due, the most urgent first.

    A step that waits for version k also accepts tokens of version k - 1, and
    an endpoint starts no requests while it loads. Endpoints that can't serve
    the newest step load immediately, and so does a third of those that can,
    in case the next step follows soon. The others load once the items of the
    newest step have been placed, so that they can serve the next step from
    its start. Each version is loaded on an equal share of the endpoints per
    model, the most outdated endpoints of the model's subset first.

    The subsets of the models cover all endpoints evenly. If all models took
    the same endpoints, these would have long queues while the others have
    none. If the subset of a model changed with each version, the process that
    runs its jobs would open connections to all endpoints.

    The next load always goes to the model with the fewest endpoints that can
    serve its newest step. Otherwise, models whose versions come in quick
    succession would delay the loads of the others.

    :param target_versions: newest version of each model.
    :param settled_models: models whose newest step has had time to start its
        items.
    """
    active = [
        candidate
        for candidate in endpoints
        if candidate.ready and not candidate.draining
    ]
    loads: list[PlannedLoad] = []
    ring = _ring(active)
    due_by_model = {
        model: _due_endpoints(
            model,
            version,
            ring,
            subset_start_share=model_index / len(target_versions),
            model_count=len(target_versions),
            is_settled=model in settled_models,
        )
        for model_index, (model, version) in enumerate(
            sorted(target_versions.items())
        )
    }
    serving_counts = {
        model: _serving_count(model, version, active)
        for model, version in target_versions.items()
    }
    while any(due_by_model.values()):
        model = min(
            (due_model for due_model, due in due_by_model.items() if due),
            key=lambda due_model: (serving_counts[due_model], due_model),
        )
        endpoint = due_by_model[model].pop(0)
        serving_counts[model] += 1
        loads.append(PlannedLoad(endpoint, model, target_versions[model]))
    return loads


def _due_endpoints(
    model: ids.ModelName,
    version: ids.WeightVersion,
    ring: Sequence[Endpoint],
    *,
    subset_start_share: float,
    model_count: int,
    is_settled: bool,
) -> list[Endpoint]:
    """Return the endpoints to load a version on, the most outdated first.

    :param subset_start_share: start of the model's subset, as a share of the
        ring.
    """
    versions = {
        endpoint.endpoint_id: current
        for endpoint in ring
        if (current := endpoint.version_of(model)) is not None
    }
    members = [
        endpoint for endpoint in ring if endpoint.endpoint_id in versions
    ]
    wanted_count = max(round(len(members) / model_count), 1)
    loaded_count = sum(current >= version for current in versions.values())
    start = int(len(members) * subset_start_share)
    subset = (members[start:] + members[:start])[
        : wanted_count * _SERVING_VERSION_COUNT
    ]
    outdated = sorted(
        (
            endpoint
            for endpoint in subset
            if versions[endpoint.endpoint_id] < version
        ),
        key=lambda endpoint: versions[endpoint.endpoint_id],
    )[: max(wanted_count - loaded_count, 0)]
    if not is_settled:
        unable_count = sum(
            versions[endpoint.endpoint_id] < version - 1
            for endpoint in outdated
        )
        serving_count = _serving_count(model, version, ring)
        early_count = max(round(serving_count * _EARLY_LOAD_SHARE), 1)
        outdated = outdated[: max(unable_count, early_count - loaded_count)]
    return outdated


def _ring(endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints in an order of which subsets are consecutive parts.

    The regions alternate, so that each subset has endpoints in all of them. An
    endpoint that leaves or joins moves each subset by one place at most.
    """
    by_region: dict[ids.Region, list[Endpoint]] = {}
    for endpoint in sorted(endpoints, key=_ring_weight):
        by_region.setdefault(endpoint.region, []).append(endpoint)
    places = [
        (place / len(members), region, endpoint)
        for region, members in by_region.items()
        for place, endpoint in enumerate(members)
    ]
    places.sort(key=lambda item: item[:2])
    return [endpoint for _, _, endpoint in places]


def _ring_weight(endpoint: Endpoint) -> int:
    return xxhash.xxh3_64_intdigest(endpoint.endpoint_id)


def _serving_count(
    model: ids.ModelName,
    version: ids.WeightVersion,
    endpoints: Sequence[Endpoint],
) -> int:
    """Return how many endpoints can serve the step of a version."""
    oldest = version - 1
    return sum(
        (candidate.version_of(model) or 0) >= oldest for candidate in endpoints
    )
