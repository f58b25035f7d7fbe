"""Control overhead of a node at the target size, from measured slopes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.membership import HEARTBEAT_PERIOD_S
from dogwoodpost.services.agent.agent import LOAD_PERIOD_S
from dogwoodpost.services.agent.agent import REGISTRATION_PERIOD_S
from dogwoodpost.services.entry.usage_totals import WRITE_INTERVAL_S
from measurements.control.slopes import ENDPOINT_COUNT
from measurements.control.slopes import ENDPOINTS_PER_AGENT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from measurements.control.slopes import Slope

AGENT_COUNT = ENDPOINT_COUNT // ENDPOINTS_PER_AGENT
# The design page plans 20 entries.
ENTRY_COUNT = 20
CHANGES_PER_S = 8_300 / 86_400
# One TCP/IP header per message and one for its acknowledgement.
PACKET_HEADER_BYTES = 104
# Headers of an HTTP call to the store in both directions.
CALL_HEADER_BYTES = 400
ENTRY_ROW_BYTES = 200

# Targets of the control overhead per node; the first is a share of a core.
CORE_SHARE_TARGET = 0.046
MEMORY_TARGET_BYTES = 128e6
BYTES_TARGET_PER_S = 3_000.0


class NodeCost(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one mechanism, or of all, on a node of a role."""

    role: str
    mechanism: str
    core_share: float = 0.0
    bytes_per_s: float = 0.0
    memory_bytes: float = 0.0

    is_sum: bool = False

    def missed(self) -> list[str]:
        """Return one text for each missed target per node."""
        missed = []
        if self.core_share > CORE_SHARE_TARGET:
            missed.append(f'{self.core_share:.1%} of a core')
        if self.bytes_per_s > BYTES_TARGET_PER_S:
            missed.append(f'{self.bytes_per_s / 1e3:.1f} KB/s')
        if self.memory_bytes > MEMORY_TARGET_BYTES:
            missed.append(f'{self.memory_bytes / 1e6:.0f} MB')
        return missed


def node_costs(slopes: Mapping[str, Slope]) -> list[NodeCost]:
    """Return the costs per mechanism, the sums per role, and the mean."""
    agent = _agent_costs(slopes)
    entry = _entry_costs(slopes)
    agent_sum = _sum('agent', agent)
    entry_sum = _sum('entry', entry)
    return [*agent, agent_sum, *entry, entry_sum, _mean(agent_sum, entry_sum)]


def _message(
    role: str,
    slopes: Mapping[str, Slope],
    name: str,
    rate_per_s: float,
    *,
    sent: bool,
) -> NodeCost:
    slope = slopes[f'{"send" if sent else "receive"} {name}']
    return NodeCost(
        role=role,
        mechanism=slope.name,
        core_share=slope.cpu_us * 1e-6 * rate_per_s,
        bytes_per_s=(slope.wire_bytes + PACKET_HEADER_BYTES) * rate_per_s,
    )


def _agent_costs(slopes: Mapping[str, Slope]) -> list[NodeCost]:
    heartbeats_per_s = ENTRY_COUNT / HEARTBEAT_PERIOD_S
    reports_per_s = ENTRY_COUNT / LOAD_PERIOD_S
    scan_bytes = CALL_HEADER_BYTES + ENTRY_COUNT * ENTRY_ROW_BYTES
    return [
        _message('agent', slopes, 'AgentHello', heartbeats_per_s, sent=True),
        _message('agent', slopes, 'LoadReport', reports_per_s, sent=True),
        _message(
            'agent', slopes, 'EntryHeartbeat', heartbeats_per_s, sent=False
        ),
        NodeCost(
            role='agent',
            mechanism='read of the entries',
            bytes_per_s=scan_bytes / REGISTRATION_PERIOD_S,
        ),
        NodeCost(
            role='agent',
            mechanism='process',
            memory_bytes=slopes['agent process at start'].memory_bytes,
        ),
    ]


def _entry_costs(slopes: Mapping[str, Slope]) -> list[NodeCost]:
    heartbeats_per_s = AGENT_COUNT / HEARTBEAT_PERIOD_S
    reports_per_s = AGENT_COUNT / LOAD_PERIOD_S
    flushes_per_s = 1.0 / WRITE_INTERVAL_S
    usage = slopes['usage totals of 200 accounts written']
    change = slopes['configuration revision applied']
    index = slopes['key index of 1,000 keys built']
    recorded_hello = slopes['AgentHello recorded at an entry']
    recorded_load = slopes['LoadReport recorded at an entry']
    endpoints = slopes['endpoint known to an entry'].memory_bytes
    process = slopes['entry process at start'].memory_bytes
    return [
        _message('entry', slopes, 'AgentHello', heartbeats_per_s, sent=False),
        _message('entry', slopes, 'LoadReport', reports_per_s, sent=False),
        _message(
            'entry', slopes, 'EntryHeartbeat', heartbeats_per_s, sent=True
        ),
        NodeCost(
            role='entry',
            mechanism='directory and loads kept',
            core_share=(
                recorded_hello.cpu_us * heartbeats_per_s
                + recorded_load.cpu_us * reports_per_s
            )
            * 1e-6,
        ),
        NodeCost(
            role='entry',
            mechanism='configuration',
            core_share=(change.cpu_us + index.cpu_us) * 1e-6 * CHANGES_PER_S,
            # The store is polled once per second; each change is read once.
            bytes_per_s=CALL_HEADER_BYTES
            + (change.wire_bytes + CALL_HEADER_BYTES) * CHANGES_PER_S,
        ),
        NodeCost(
            role='entry',
            mechanism='usage totals',
            core_share=usage.cpu_us * 1e-6 * flushes_per_s,
            bytes_per_s=(usage.wire_bytes + CALL_HEADER_BYTES) * flushes_per_s,
        ),
        NodeCost(
            role='entry',
            mechanism='process and endpoints',
            memory_bytes=process + endpoints * ENDPOINT_COUNT,
        ),
    ]


def _sum(role: str, costs: list[NodeCost]) -> NodeCost:
    return NodeCost(
        role=role,
        mechanism='all',
        is_sum=True,
        core_share=sum(cost.core_share for cost in costs),
        bytes_per_s=sum(cost.bytes_per_s for cost in costs),
        memory_bytes=sum(cost.memory_bytes for cost in costs),
    )


def _mean(agent: NodeCost, entry: NodeCost) -> NodeCost:
    """Return the mean over all nodes, weighted by the number of each role."""
    weight = ENTRY_COUNT / (ENTRY_COUNT + AGENT_COUNT)
    return NodeCost(
        role='node',
        mechanism='mean of all',
        is_sum=True,
        core_share=(1 - weight) * agent.core_share + weight * entry.core_share,
        bytes_per_s=(1 - weight) * agent.bytes_per_s
        + weight * entry.bytes_per_s,
        memory_bytes=(1 - weight) * agent.memory_bytes
        + weight * entry.memory_bytes,
    )
