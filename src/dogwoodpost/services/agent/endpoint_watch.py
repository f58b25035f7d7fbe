"""Polls load, weight version and prefix cache of an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointUnsupportedError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts import AgentAttempts
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_client import CacheEventBatch
    from dogwoodpost.ports.endpoint_client import EndpointClient

# A single failed poll is common under load; two in a row are not.
_FAILURES_UNTIL_NOT_READY = 2
# Beyond this age the counts of the router itself are more accurate.
_MAX_LOAD_AGE_S = 5.0
# Cursor that requests all cached blocks rather than later events only.
_SNAPSHOT_CURSOR = -1


class EndpointWatch:
    """Last polled state of one endpoint."""

    def __init__(
        self,
        endpoint_id: ids.EndpointId,
        service: ids.ServiceName,
        client: EndpointClient,
        attempts: AgentAttempts,
        identity: ProcessIdentity,
        clock: Clock,
    ) -> None:
        self._endpoint_id = endpoint_id
        self._service = service
        self._client = client
        self._attempts = attempts
        self._sender_fields = identity.sender_fields()
        self._clock = clock
        self._load: messages.EndpointLoad | None = None
        self._load_s = 0.0
        self._events: list[messages.CacheEvents] = []
        self._failure_count = 0
        self._weight_version: ids.WeightVersion | None = None
        self._last_sequence = _SNAPSHOT_CURSOR

    def state(self) -> messages.EndpointState:
        """Return the endpoint's state for the heartbeats."""
        return messages.EndpointState(
            endpoint_id=self._endpoint_id,
            service=self._service,
            weight_version=self._weight_version,
            ready=self._failure_count < _FAILURES_UNTIL_NOT_READY,
            draining=self._attempts.is_out_of_rotation(self._endpoint_id),
        )

    async def poll(self) -> None:
        """Fetch the endpoint's load and, from an engine, its cache events.

        An endpoint without a load report gets the count of attempts that
        this agent runs there.
        """
        try:
            self._load = await self._client.load()
        except EndpointUnsupportedError:
            running_count = self._attempts.running_count(self._endpoint_id)
            self._load = messages.EndpointLoad(
                endpoint_id=self._endpoint_id,
                running_count=running_count,
                waiting_count=0,
            )
        except EndpointError:
            self._failure_count += 1
            return
        self._failure_count = 0
        self._load_s = self._clock.monotonic_s()
        self._weight_version = self._load.weight_version
        if not self._is_engine():
            return
        batch = await self._fetch(self._last_sequence)
        if batch is not None:
            self._last_sequence = batch.last_sequence
            self._events.append(self._cache_events(batch))

    def load(self) -> messages.EndpointLoad | None:
        """Return the last load with its age, or None if it is over 5 s old."""
        if self._load is None:
            return None
        age_s = self._clock.monotonic_s() - self._load_s
        if age_s > _MAX_LOAD_AGE_S:
            return None
        age_ms = self._load.age_ms + int(age_s * 1000)
        return msgspec.structs.replace(self._load, age_ms=age_ms)

    def take_events(self) -> list[messages.CacheEvents]:
        """Return the cache events that were polled since the last call."""
        events, self._events = self._events, []
        return events

    async def snapshot(self) -> messages.CacheEvents | None:
        """Fetch all cached blocks, for an entry that has just started.

        None if the endpoint is no engine, caches no block, or did not answer.
        """
        if not self._is_engine():
            return None
        batch = await self._fetch(_SNAPSHOT_CURSOR)
        return None if batch is None else self._cache_events(batch)

    async def _fetch(self, after: int) -> CacheEventBatch | None:
        try:
            return await self._client.cache_events(after)
        except EndpointError:
            return None

    def _is_engine(self) -> bool:
        # Only engines report a weight version. A plain service could execute
        # a request to any path, so only its load is requested.
        return self._weight_version is not None

    def _cache_events(self, batch: CacheEventBatch) -> messages.CacheEvents:
        return messages.CacheEvents(
            **self._sender_fields,
            endpoint_id=self._endpoint_id,
            first_sequence=batch.first_sequence,
            stored=batch.stored,
            evicted=batch.evicted,
            cleared=batch.cleared,
        )
