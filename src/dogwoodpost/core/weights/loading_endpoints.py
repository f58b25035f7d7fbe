"""Endpoints that are loading weights of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.expiring_keys import ExpiringKeys

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# A load is taken to be over after this time, since the process that reported
# its start may be gone before it reports the end.
MAX_LOAD_S = 1.5


class LoadingEndpoints:
    """Tracks which endpoints start no requests of a model during a load.

    They refuse new requests of the model until the load is done. A request
    that is sent to one of them anyway loses its turn in the queue.
    """

    def __init__(self) -> None:
        self._loads: ExpiringKeys[tuple[ids.EndpointId, ids.ModelName]]
        self._loads = ExpiringKeys()

    def begin(
        self, endpoint_id: ids.EndpointId, model: ids.ModelName, now_s: float
    ) -> None:
        """Record that a load has begun."""
        self._loads.add((endpoint_id, model), now_s + MAX_LOAD_S)

    def end(self, endpoint_id: ids.EndpointId, model: ids.ModelName) -> None:
        """Record that an endpoint is not loading weights of a model."""
        self._loads.discard((endpoint_id, model))

    def of_model(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints that are loading weights of a model."""
        return frozenset(
            endpoint_id
            for endpoint_id, loading_model in self._loads.current(now_s)
            if loading_model == model
        )
