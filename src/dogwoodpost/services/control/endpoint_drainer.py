"""Takes an endpoint out of routing before it is stopped."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.services.entry.endpoint_commander import EndpointCommander

_log = structlog.get_logger(__name__)
_POLL_INTERVAL_S = 0.5


class EndpointDrainer:
    """Drains endpoints while this process holds a shard's lease.

    Once the agent has accepted DRAIN, it refuses every new attempt for the
    endpoint, even from entries that still route to it, so the entries need
    not confirm the drain.

    Each request ends within its own time limit, so an endpoint whose load is
    no longer reported counts as empty after the longest of these limits.

    :param longest_request_s: returns the longest time limit of the service's
        routes, in seconds.
    :param find_endpoint: returns an endpoint, or None if no agent reports it.
    :param last_load: returns the last load of an endpoint and its time of
        receipt in seconds, or None if no load was received.
    """

    def __init__(
        self,
        *,
        shard: ids.ShardName,
        guard: LeaseGuard,
        commander: EndpointCommander,
        clock: Clock,
        longest_request_s: Callable[[], float],
        find_endpoint: Callable[[ids.EndpointId], Endpoint | None],
        last_load: Callable[
            [ids.EndpointId], tuple[messages.EndpointLoad, float] | None
        ],
    ) -> None:
        self._shard = shard
        self._guard = guard
        self._commander = commander
        self._clock = clock
        self._longest_request_s = longest_request_s
        self._find_endpoint = find_endpoint
        self._last_load = last_load

    async def drain(self, endpoint_id: ids.EndpointId) -> None:
        """Wait until the endpoint refuses new attempts and runs none.

        :raises LeaseLostError: the lease was lost.
        """
        while not await self._try_drain(endpoint_id):
            await self._clock.sleep(_POLL_INTERVAL_S)
        drained_s = self._clock.monotonic_s()
        while not self._is_empty(endpoint_id, drained_s):
            await self._clock.sleep(_POLL_INTERVAL_S)

    async def resume(self, endpoint_id: ids.EndpointId) -> None:
        """Let the endpoint accept attempts again.

        Has no effect if no agent reports the endpoint.

        :raises LeaseLostError: the lease was lost.
        """
        while (endpoint := self._find_endpoint(endpoint_id)) is not None:
            if await self._command(endpoint, EndpointAction.RESUME):
                return
            await self._clock.sleep(_POLL_INTERVAL_S)

    async def _try_drain(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether the agent refuses new attempts from now on.

        An agent that this process cannot see may still run requests of other
        entries, so the stop waits until the agent reports the endpoint again.
        """
        endpoint = self._find_endpoint(endpoint_id)
        if endpoint is None:
            _log.warning('drain waits for the agent', endpoint_id=endpoint_id)
            return False
        return await self._command(endpoint, EndpointAction.DRAIN)

    async def _command(
        self, endpoint: Endpoint, action: EndpointAction
    ) -> bool:
        try:
            result = await self._commander.command(
                endpoint, self._shard, self._guard.fencing_number(), action
            )
        except (EndpointError, TransportError) as error:
            _log.warning(
                'endpoint command failed',
                endpoint_id=endpoint.endpoint_id,
                action=action.value,
                error=str(error),
            )
            return False
        return result.accepted

    def _is_empty(self, endpoint_id: ids.EndpointId, since_s: float) -> bool:
        """Return whether the endpoint has no running or waiting requests.

        Only a load that was measured at or after ``since_s`` counts. After
        the longest request time, the endpoint is empty without such a load.
        """
        now_s = self._clock.monotonic_s()
        if now_s - since_s > self._longest_request_s():
            return True
        if self._find_endpoint(endpoint_id) is None:
            return False
        reported = self._last_load(endpoint_id)
        if reported is None:
            return False
        load, received_s = reported
        if received_s - load.age_ms / 1000 < since_s:
            return False
        return load.running_count == 0 and load.waiting_count == 0
