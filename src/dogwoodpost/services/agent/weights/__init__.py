"""Fetching of weights between agents."""

from __future__ import annotations

from dogwoodpost.services.agent.weights.agent_weights import AgentWeights
from dogwoodpost.services.agent.weights.weight_holder import WeightHolder
from dogwoodpost.services.agent.weights.weight_routes import add_weight_routes

__all__ = ('AgentWeights', 'WeightHolder', 'add_weight_routes')
