"""The agents that an entry hears, and their endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.membership import GONE_S
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.core.membership import PeerLink
from dogwoodpost.core.routing.endpoint import Endpoint

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import EndpointListener


class KnownAgent:
    """One agent, as of its last heartbeat."""

    def __init__(self, hello: messages.AgentHello, now_s: float) -> None:
        self.process_id = hello.sender_id
        self.address = hello.sender_address
        self.liveness = PeerLink(hello.sender_incarnation, now_s)
        self.endpoints: dict[ids.EndpointId, Endpoint] = {}
        self.sending = False


class AgentDirectory:
    """Tells a listener which endpoints can be reached."""

    def __init__(self, listener: EndpointListener) -> None:
        self._listener = listener
        self._agents: dict[ids.ProcessId, KnownAgent] = {}
        self._owners: dict[ids.EndpointId, ids.ProcessId] = {}

    def agents(self) -> list[KnownAgent]:
        """Return all known agents."""
        return list(self._agents.values())

    def find(self, process_id: ids.ProcessId) -> KnownAgent | None:
        """Return an agent, None if it is unknown or gone."""
        return self._agents.get(process_id)

    def record_hello(
        self, hello: messages.AgentHello, now_s: float
    ) -> HeartbeatResult:
        """Take a heartbeat of an agent."""
        agent = self._agents.get(hello.sender_id)
        if agent is None:
            agent = KnownAgent(hello, now_s)
            self._agents[hello.sender_id] = agent
        result = agent.liveness.record_heartbeat(
            hello.sender_incarnation,
            hello.sequence,
            hello.echo_sequence,
            now_s,
        )
        if result is HeartbeatResult.OUTDATED:
            return result
        agent.address = hello.sender_address
        if agent.liveness.is_reachable(now_s):
            self._update(agent, hello, now_s)
        return result

    def record_load(self, report: messages.LoadReport, now_s: float) -> None:
        """Pass on the loads of the endpoints that the sender owns."""
        for load in report.loads:
            if self._owners.get(load.endpoint_id) == report.sender_id:
                self._listener.report_load(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Pass on the cache events of an endpoint that the sender owns."""
        if self._owners.get(events.endpoint_id) == events.sender_id:
            self._listener.record_cache_events(events, now_s)

    def remove_silent(self, now_s: float) -> list[KnownAgent]:
        """Withdraw the endpoints of agents that are not reachable.

        Returns the agents whose attempts are to be given up.
        """
        given_up = []
        for agent in self.agents():
            liveness = agent.liveness
            if not liveness.is_reachable(now_s):
                self._withdraw(agent, set(agent.endpoints), now_s)
            if liveness.unconfirmed_s(now_s) > GONE_S:
                given_up.append(agent)
            if liveness.is_gone(now_s):
                del self._agents[agent.process_id]
        return given_up

    def _update(
        self, agent: KnownAgent, hello: messages.AgentHello, now_s: float
    ) -> None:
        listed = {state.endpoint_id for state in hello.endpoints}
        self._withdraw(agent, set(agent.endpoints) - listed, now_s)
        for state in hello.endpoints:
            endpoint = _endpoint(hello, state)
            self._owners[state.endpoint_id] = agent.process_id
            if agent.endpoints.get(state.endpoint_id) != endpoint:
                agent.endpoints[state.endpoint_id] = endpoint
                self._listener.upsert(endpoint, now_s)

    def _withdraw(
        self,
        agent: KnownAgent,
        endpoint_ids: set[ids.EndpointId],
        now_s: float,
    ) -> None:
        for endpoint_id in sorted(endpoint_ids):
            del agent.endpoints[endpoint_id]
            # Another agent may have taken over the endpoint's id.
            if self._owners.get(endpoint_id) == agent.process_id:
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
        draining=state.draining or hello.leaving,
        weights_url=hello.weights_url,
    )
