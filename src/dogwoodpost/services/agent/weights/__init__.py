"""Weight versions that agents fetch, cache and serve to each other."""

from __future__ import annotations

from dogwoodpost.services.agent.weights.agent_weights import AgentWeights
from dogwoodpost.services.agent.weights.weight_cache import WeightCache
from dogwoodpost.services.agent.weights.weight_routes import add_weight_routes

__all__ = ('AgentWeights', 'WeightCache', 'add_weight_routes')
