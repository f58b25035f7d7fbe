"""Endpoints that change the weights of a model now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.expiring_keys import ExpiringKeys

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Whoever told of a load may be gone before it tells of the end.
MAX_LOAD_S = 1.5


class LoadingEndpoints:
    """Knows which endpoints start nothing of a model.

    They refuse new requests of the model until the load is done. Requests
    that are sent there all the same lose their turn.
    """

    def __init__(self) -> None:
        self._loads: ExpiringKeys[tuple[ids.EndpointId, ids.ModelName]]
        self._loads = ExpiringKeys()

    def begin(
        self, endpoint_id: ids.EndpointId, model: ids.ModelName, now_s: float
    ) -> None:
        """Note that a load has begun."""
        self._loads.add((endpoint_id, model), now_s + MAX_LOAD_S)

    def end(self, endpoint_id: ids.EndpointId, model: ids.ModelName) -> None:
        """Note that no load of a model is under way."""
        self._loads.discard((endpoint_id, model))

    def of_model(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints that load a model."""
        return frozenset(
            endpoint_id
            for endpoint_id, loading_model in self._loads.current(now_s)
            if loading_model == model
        )
