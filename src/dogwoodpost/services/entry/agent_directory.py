"""Follows the agents and feeds the router."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.membership.agent_registry import AgentRegistry

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.membership.agent_registry import Agent
    from dogwoodpost.core.membership.agent_registry import LostAgent
    from dogwoodpost.core.routing.endpoint import EndpointListener
    from dogwoodpost.ports.clock import Clock

_logger = structlog.get_logger(__name__)


class AgentDirectory:
    """The agents that this entry hears of."""

    def __init__(self, listener: EndpointListener, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._registry = AgentRegistry(listener)

    def agents(self) -> list[Agent]:
        """Return all known agents."""
        return self._registry.agents()

    def agent(self, agent_id: ids.ProcessId) -> Agent | None:
        """Return what is known of an agent."""
        return self._registry.agent(agent_id)

    def heard_sequence(self, agent_id: ids.ProcessId) -> int:
        """Return the sequence of the agent's newest heartbeat, or 0."""
        agent = self._registry.agent(agent_id)
        return 0 if agent is None else agent.liveness.last_sequence

    def record_sent(self, sequence: int) -> None:
        """Note the sequence of this entry's newest heartbeat."""
        self._registry.record_sent(sequence)

    def hear(self, hello: messages.AgentHello) -> LostAgent | None:
        """Take a heartbeat; return the incarnation that it replaces."""
        lost = self._registry.hear(hello, self._clock.monotonic_s())
        if lost is not None:
            _logger.info('agent_restarted', agent=lost.agent_id)
        return lost

    def report_load(self, report: messages.LoadReport) -> None:
        """Pass on the loads of endpoints that the sender owns."""
        now_s = self._clock.monotonic_s()
        for load in report.loads:
            if self._registry.owns(report.sender_id, load.endpoint_id):
                self._listener.report_load(load, now_s)

    def record_cache_events(self, events: messages.CacheEvents) -> None:
        """Pass on cache events of an endpoint that the sender owns."""
        if self._registry.owns(events.sender_id, events.endpoint_id):
            self._listener.record_cache_events(
                events, self._clock.monotonic_s()
            )

    def remove_silent(self) -> list[Agent]:
        """Stop routing to silent agents; return those to connect anew."""
        due = self._registry.remove_silent(self._clock.monotonic_s())
        for agent in due:
            _logger.warning('agent_silent', agent=agent.agent_id)
        return due
