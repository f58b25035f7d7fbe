"""Plan for moving the endpoints of a model to a weight version."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.weights import fan_out as fan_outs
from dogwoodpost.core.weights.swap_state import SwapPhase
from dogwoodpost.core.weights.swap_state import SwapState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dogwoodpost.core.weights.token_bucket import TokenBucket

# Value in ``fetch_from``: fetch from the weight store over the billed link
# instead of from another agent.
FROM_WEIGHT_STORE = 'weight-store'
RETRY_BASE_DELAY_S = 1.0
RETRY_MAX_DELAY_S = 60.0
# Heartbeats sent before a switch may arrive up to this time after it.
REPORT_LAG_S = 5.0


class SwapAction(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a version beside the old one, or to switch to it.

    :param fetch_from: for a load, the URLs of agents to fetch from in order
        of preference, or ``FROM_WEIGHT_STORE``.
    """

    endpoint: Endpoint
    action: EndpointAction
    version: ids.WeightVersion
    fetch_from: tuple[str, ...] = ()


class WeightPlan:
    """Plans the weight swaps of all endpoints of one model.

    In each region, one host fetches a version from the weight store, at the
    rate of the token bucket. The other hosts fetch it from each other along a
    tree. An endpoint that has loaded the version is switched immediately.
    """

    def __init__(self, store_bucket: TokenBucket, *, fan_out: int = 2) -> None:
        self.target: ids.WeightVersion | None = None
        self._bucket = store_bucket
        self._fan_out = fan_out
        self._states: dict[ids.EndpointId, SwapState] = {}
        # The host that fetches the target version, by region.
        self._roots: dict[ids.Region, ids.HostId] = {}
        self._failed_roots: set[ids.HostId] = set()

    def announce(self, version: ids.WeightVersion) -> None:
        """Set the target version; one that is not newer is ignored."""
        if self.target is not None and version <= self.target:
            return
        self.target = version
        self._roots.clear()
        self._failed_roots.clear()
        for state in self._states.values():
            state.failure_count = 0
            state.retry_at_s = 0.0

    def set_endpoints(
        self, endpoints: Iterable[Endpoint], now_s: float
    ) -> None:
        """Replace the endpoints by the current ones and their versions."""
        previous_states = self._states
        self._states = {}
        for endpoint in endpoints:
            state = previous_states.get(endpoint.endpoint_id)
            is_same = (
                state is not None
                and state.endpoint.agent_incarnation
                == endpoint.agent_incarnation
            )
            if state is None or not is_same:
                state = SwapState(endpoint=endpoint)
            state.endpoint = endpoint
            _apply_reported_version(state, endpoint.weight_version, now_s)
            self._states[endpoint.endpoint_id] = state
        live_hosts = {item.endpoint.host_id for item in self._states.values()}
        for region, host in list(self._roots.items()):
            if host not in live_hosts:
                del self._roots[region]

    def block_store_fetches(self, now_s: float, duration_s: float) -> None:
        """Start no fetches from the weight store for a duration."""
        self._bucket.block(now_s, duration_s)

    def next_actions(self, now_s: float) -> list[SwapAction]:
        """Return the orders to send now.

        The caller passes the result of each order to :meth:`record`.
        """
        target = self.target
        if target is None:
            return []
        actions = []
        loads: dict[ids.Region, list[SwapState]] = defaultdict(list)
        for state in self._states.values():
            if state.phase is not SwapPhase.IDLE or state.retry_at_s > now_s:
                continue
            if state.serving_version == target or state.endpoint.draining:
                continue
            if state.loaded_version == target:
                state.phase = SwapPhase.SWITCHING
                actions.append(_switch_action(state, target))
            else:
                loads[state.endpoint.region].append(state)
        for region, states in sorted(loads.items()):
            actions.extend(self._load_actions(region, states, target, now_s))
        return actions

    def record(
        self,
        action: SwapAction,
        *,
        accepted: bool,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Record the result of an order."""
        state = self._states.get(action.endpoint.endpoint_id)
        if state is None or state.phase is SwapPhase.IDLE:
            return
        state.phase = SwapPhase.IDLE
        if not accepted:
            self._record_failure(state, action, now_s, rng)
        elif action.action is EndpointAction.LOAD_WEIGHTS:
            state.loaded_version = action.version
        else:
            state.serving_version = action.version
            state.loaded_version = None
            state.failed_version = None
            state.failure_count = 0
            state.switched_at_s = now_s

    def out_of_rotation(self) -> frozenset[ids.EndpointId]:
        """Return the endpoints whose swap to the target version failed."""
        return frozenset(
            key
            for key, state in self._states.items()
            if state.failed_version is not None
            and state.failed_version == self.target
        )

    def pending(self) -> list[ids.EndpointId]:
        """Return the endpoints that do not serve the target version yet."""
        return [
            key
            for key, state in self._states.items()
            if state.serving_version != self.target
        ]

    def next_retry_s(self, now_s: float) -> float | None:
        """Return the next time at which :meth:`next_actions` may have orders.

        None if no time is known.
        """
        times = [
            state.retry_at_s
            for state in self._states.values()
            if state.retry_at_s > now_s
        ]
        delay_s = self._bucket.delay_s(now_s)
        if delay_s > 0.0 and self.pending():
            times.append(now_s + delay_s)
        return min(times, default=None)

    def _load_actions(
        self,
        region: ids.Region,
        states: list[SwapState],
        target: ids.WeightVersion,
        now_s: float,
    ) -> list[SwapAction]:
        hosts = self._ordered_hosts(region, target)
        if region not in self._roots:
            has_target = hosts[0] in self._holders(target)
            if not has_target and not self._bucket.take(now_s):
                return []
            self._roots[region] = hosts[0]
        root = self._roots[region]
        hosts.remove(root)
        hosts.insert(0, root)
        addresses = self._addresses()
        ordered = [addresses[host] for host in hosts]
        positions = {host: position for position, host in enumerate(hosts)}
        actions = []
        for state in states:
            state.phase = SwapPhase.LOADING
            position = positions[state.endpoint.host_id]
            sources = fan_outs.fetch_sources(ordered, position, self._fan_out)
            actions.append(
                SwapAction(
                    endpoint=state.endpoint,
                    action=EndpointAction.LOAD_WEIGHTS,
                    version=target,
                    fetch_from=sources or (FROM_WEIGHT_STORE,),
                )
            )
        return actions

    def _ordered_hosts(
        self, region: ids.Region, target: ids.WeightVersion
    ) -> list[ids.HostId]:
        """Return the hosts of a region, sorted by suitability as the root.

        Hosts that hold the target version come first, failed roots last.
        """
        holders = self._holders(target)
        hosts = {
            state.endpoint.host_id
            for state in self._states.values()
            if state.endpoint.region == region
        }
        return sorted(
            hosts,
            key=lambda host: (
                host not in holders,
                host in self._failed_roots,
                host,
            ),
        )

    def _holders(self, version: ids.WeightVersion) -> set[ids.HostId]:
        return {
            state.endpoint.host_id
            for state in self._states.values()
            if state.holds(version)
        }

    def _addresses(self) -> dict[ids.HostId, str]:
        return {
            state.endpoint.host_id: state.endpoint.weights_url
            for state in self._states.values()
        }

    def _record_failure(
        self,
        state: SwapState,
        action: SwapAction,
        now_s: float,
        rng: random.Random,
    ) -> None:
        state.failed_version = action.version
        state.failure_count += 1
        limit_s = min(
            RETRY_MAX_DELAY_S, RETRY_BASE_DELAY_S * 2**state.failure_count
        )
        state.retry_at_s = now_s + rng.uniform(0.0, limit_s)
        host = state.endpoint.host_id
        region = state.endpoint.region
        is_root = self._roots.get(region) == host
        if is_root and host not in self._holders(action.version):
            self._failed_roots.add(host)
            del self._roots[region]


def _apply_reported_version(
    state: SwapState, reported: ids.WeightVersion | None, now_s: float
) -> None:
    """Apply the version from a heartbeat, unless it may be outdated."""
    if state.phase is SwapPhase.SWITCHING:
        return
    if now_s - state.switched_at_s >= REPORT_LAG_S:
        state.serving_version = reported


def _switch_action(state: SwapState, version: ids.WeightVersion) -> SwapAction:
    return SwapAction(
        endpoint=state.endpoint,
        action=EndpointAction.SWITCH_WEIGHTS,
        version=version,
    )
