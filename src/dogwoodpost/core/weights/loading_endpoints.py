"""Endpoints that change the weights of a model now."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
        self._until_s: dict[tuple[ids.EndpointId, ids.ModelName], float] = {}

    def begin(
        self, endpoint_id: ids.EndpointId, model: ids.ModelName, now_s: float
    ) -> None:
        """Note that a load has begun."""
        self._until_s[(endpoint_id, model)] = now_s + MAX_LOAD_S

    def end(self, endpoint_id: ids.EndpointId, model: ids.ModelName) -> None:
        """Note that no load of a model is under way."""
        self._until_s.pop((endpoint_id, model), None)

    def of_model(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints that load a model."""
        self._until_s = {
            key: until_s
            for key, until_s in self._until_s.items()
            if now_s < until_s
        }
        return frozenset(
            endpoint_id
            for endpoint_id, loading_model in self._until_s
            if loading_model == model
        )
