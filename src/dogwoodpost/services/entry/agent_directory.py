"""Agents that send heartbeats to an entry, and their endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.membership import GONE_TIMEOUT_S
from dogwoodpost.core.membership import HeartbeatResult
from dogwoodpost.core.membership import PeerLiveness
from dogwoodpost.core.routing.endpoint import Endpoint

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import EndpointListener


class KnownAgent:
    """State of one agent as of its last accepted heartbeat."""

    def __init__(self, hello: messages.AgentHello, now_s: float) -> None:
        self.process_id = hello.sender_id
        self.address = hello.sender_address
        self.liveness = PeerLiveness(hello.sender_incarnation, now_s)
        self.endpoints: dict[ids.EndpointId, Endpoint] = {}
        self.heartbeat_in_flight = False


class AgentDirectory:
    """Tracks agents and reports their reachable endpoints to a listener.

    All times are in seconds of the caller's monotonic clock.
    """

    def __init__(self, listener: EndpointListener) -> None:
        self._listener = listener
        self._agents: dict[ids.ProcessId, KnownAgent] = {}
        self._owners: dict[ids.EndpointId, ids.ProcessId] = {}

    def agents(self) -> list[KnownAgent]:
        """Return the agents that have not been removed as gone."""
        return list(self._agents.values())

    def find(self, process_id: ids.ProcessId) -> KnownAgent | None:
        """Return an agent, or None if it is unknown or has been removed."""
        return self._agents.get(process_id)

    def record_hello(
        self, hello: messages.AgentHello, now_s: float
    ) -> HeartbeatResult:
        """Record a heartbeat of an agent and update its endpoints.

        An outdated heartbeat changes nothing.
        """
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
            self._update_endpoints(agent, hello, now_s)
        return result

    def record_load(self, report: messages.LoadReport, now_s: float) -> None:
        """Report the loads of endpoints to the listener.

        Loads of endpoints that belong to another agent are ignored.
        """
        for load in report.loads:
            if self._owners.get(load.endpoint_id) == report.sender_id:
                self._listener.report_load(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Report the cache events of an endpoint to the listener.

        Events of an endpoint that belongs to another agent are ignored.
        """
        if self._owners.get(events.endpoint_id) == events.sender_id:
            self._listener.record_cache_events(events, now_s)

    def remove_unreachable(self, now_s: float) -> list[KnownAgent]:
        """Remove unreachable agents' endpoints from the listener.

        Agents that are gone are removed from the directory as well.

        :returns: agents that have not confirmed a heartbeat for more than
            ``GONE_TIMEOUT_S`` seconds; attempts at them must be failed.
        """
        unconfirmed = []
        for agent in self.agents():
            liveness = agent.liveness
            if not liveness.is_reachable(now_s):
                self._withdraw_endpoints(agent, set(agent.endpoints), now_s)
            if liveness.unconfirmed_s(now_s) > GONE_TIMEOUT_S:
                unconfirmed.append(agent)
            if liveness.is_gone(now_s):
                del self._agents[agent.process_id]
        return unconfirmed

    def _update_endpoints(
        self, agent: KnownAgent, hello: messages.AgentHello, now_s: float
    ) -> None:
        listed_ids = {state.endpoint_id for state in hello.endpoints}
        self._withdraw_endpoints(
            agent, set(agent.endpoints) - listed_ids, now_s
        )
        for state in hello.endpoints:
            endpoint = _to_endpoint(hello, state)
            self._owners[state.endpoint_id] = agent.process_id
            if agent.endpoints.get(state.endpoint_id) != endpoint:
                agent.endpoints[state.endpoint_id] = endpoint
                self._listener.upsert(endpoint, now_s)

    def _withdraw_endpoints(
        self,
        agent: KnownAgent,
        endpoint_ids: set[ids.EndpointId],
        now_s: float,
    ) -> None:
        for endpoint_id in sorted(endpoint_ids):
            del agent.endpoints[endpoint_id]
            # Another agent may have registered the same endpoint id since.
            if self._owners.get(endpoint_id) == agent.process_id:
                del self._owners[endpoint_id]
                self._listener.remove(endpoint_id, now_s)


def _to_endpoint(
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
