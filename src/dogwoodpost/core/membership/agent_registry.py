"""The agents that an entry knows, and which of them are live."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.membership.peer_liveness import PeerLiveness
from dogwoodpost.core.routing.endpoint import Endpoint

if TYPE_CHECKING:
    from dogwoodpost.core.routing.endpoint import EndpointListener

# An agent that has been silent this long is forgotten.
FORGET_S = 60.0
MAX_RETIRED_COUNT = 1_000


class Agent:
    """One incarnation of an agent."""

    def __init__(self, hello: messages.AgentHello, now_s: float) -> None:
        self.hello = hello
        self.first_heard_s = now_s
        self.liveness = PeerLiveness(now_s)
        self.is_routed = False

    @property
    def agent_id(self) -> ids.ProcessId:
        """Return the agent's process id."""
        return self.hello.sender_id

    @property
    def incarnation(self) -> ids.Incarnation:
        """Return the agent's incarnation."""
        return self.hello.sender_incarnation

    @property
    def address(self) -> str:
        """Return where the agent is reached."""
        return self.hello.sender_address


class LostAgent(msgspec.Struct, frozen=True):
    """An incarnation that has been replaced by a new one."""

    agent_id: ids.ProcessId
    incarnation: ids.Incarnation
    address: str


class AgentRegistry:
    """Tells the router which endpoints can be reached.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, listener: EndpointListener) -> None:
        self._listener = listener
        self._agents: dict[ids.ProcessId, Agent] = {}
        self._owners: dict[ids.EndpointId, ids.ProcessId] = {}
        self._retired: dict[tuple[ids.ProcessId, ids.Incarnation], int] = {}
        self._sequence = 0

    def agent(self, agent_id: ids.ProcessId) -> Agent | None:
        """Return what is known of an agent."""
        return self._agents.get(agent_id)

    def agents(self) -> list[Agent]:
        """Return all known agents."""
        return list(self._agents.values())

    def owns(self, agent_id: ids.ProcessId, endpoint: ids.EndpointId) -> bool:
        """Return whether an endpoint is routed through an agent."""
        return self._owners.get(endpoint) == agent_id

    def record_sent(self, sequence: int) -> None:
        """Note the sequence of this entry's newest heartbeat."""
        self._sequence = sequence

    def hear(
        self, hello: messages.AgentHello, now_s: float
    ) -> LostAgent | None:
        """Take a heartbeat; return the incarnation that it replaces."""
        agent = self._agents.get(hello.sender_id)
        lost = None
        if agent is not None and agent.incarnation != hello.sender_incarnation:
            if self._is_late(hello):
                return None
            lost = self._retire(agent, now_s)
            agent = None
        if agent is None:
            agent = Agent(hello, now_s)
            self._agents[hello.sender_id] = agent
        if hello.sequence <= agent.liveness.last_sequence:
            return lost
        agent.hello = hello
        agent.liveness.record_heard(hello.sequence, hello.echo_sequence, now_s)
        self._route(agent, now_s)
        return lost

    def remove_silent(self, now_s: float) -> list[Agent]:
        """Stop routing to silent agents; return those to connect anew."""
        due = []
        for agent in self.agents():
            if agent.is_routed and not agent.liveness.is_live(now_s):
                self._unroute(agent, now_s)
            if agent.liveness.silence_s(now_s) >= FORGET_S:
                del self._agents[agent.agent_id]
            elif agent.liveness.reconnect_if_due(now_s):
                due.append(agent)
        return due

    def _is_late(self, hello: messages.AgentHello) -> bool:
        """Return whether a replaced incarnation sent this before its end.

        One that is alive echoes a heartbeat sent since it was replaced.
        """
        key = (hello.sender_id, hello.sender_incarnation)
        retired_at = self._retired.get(key)
        return retired_at is not None and hello.echo_sequence <= retired_at

    def _retire(self, agent: Agent, now_s: float) -> LostAgent:
        self._unroute(agent, now_s)
        self._retired[(agent.agent_id, agent.incarnation)] = self._sequence
        while len(self._retired) > MAX_RETIRED_COUNT:
            del self._retired[next(iter(self._retired))]
        return LostAgent(agent.agent_id, agent.incarnation, agent.address)

    def _route(self, agent: Agent, now_s: float) -> None:
        if agent.hello.leaving or not agent.liveness.is_live(now_s):
            self._unroute(agent, now_s)
            return
        named = {state.endpoint_id for state in agent.hello.endpoints}
        for endpoint_id in self._owned(agent.agent_id) - named:
            self._remove(endpoint_id, now_s)
        for state in agent.hello.endpoints:
            owner = self._owners.setdefault(state.endpoint_id, agent.agent_id)
            if owner == agent.agent_id:
                self._listener.upsert(_endpoint(agent.hello, state), now_s)
        agent.is_routed = True

    def _unroute(self, agent: Agent, now_s: float) -> None:
        agent.is_routed = False
        for endpoint_id in self._owned(agent.agent_id):
            self._remove(endpoint_id, now_s)

    def _owned(self, agent_id: ids.ProcessId) -> set[ids.EndpointId]:
        return {
            endpoint_id
            for endpoint_id, owner in self._owners.items()
            if owner == agent_id
        }

    def _remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        del self._owners[endpoint_id]
        self._listener.remove(endpoint_id, now_s)


def _endpoint(
    hello: messages.AgentHello, state: messages.EndpointState
) -> Endpoint:
    return Endpoint(
        endpoint_id=state.endpoint_id,
        service=state.service,
        host_id=hello.host_id,
        availability_zone=hello.availability_zone,
        region=hello.region,
        agent_id=hello.sender_id,
        agent_incarnation=hello.sender_incarnation,
        agent_address=hello.sender_address,
        weight_version=state.weight_version,
        ready=state.ready,
        draining=state.draining,
        weights_url=hello.weights_url,
    )
