"""Which endpoints change to a new weight version, and in which order."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.core.routing import Endpoint


def loads_for(
    model: ids.ModelName,
    version: ids.WeightVersion,
    endpoints: Sequence[Endpoint],
) -> list[Endpoint]:
    """Return the endpoints to load a version on, the most outdated first.

    A step that waits for version k also takes tokens of version k - 1, so an
    endpoint at k - 1 goes on serving while others load k; it loads the
    version after that. Each version therefore loads the endpoints that are
    two or more versions behind, and at least half of all.
    """
    known: list[tuple[int, str, Endpoint]] = []
    for endpoint in endpoints:
        current = endpoint.version_of(model)
        if current is not None and not endpoint.draining:
            known.append((current, endpoint.endpoint_id, endpoint))
    known.sort(key=lambda one: one[:2])
    up_to_date = sum(one[0] >= version for one in known)
    missing = len(known) // 2 - up_to_date
    chosen: list[Endpoint] = []
    for behind, _, endpoint in known:
        if behind >= version:
            continue
        if behind <= version - 2 or len(chosen) < missing:
            chosen.append(endpoint)
    return chosen
