"""Baselines: round robin and least loaded, both with FIFO."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.routing.load_estimate import LoadEstimate
from measurements.requests.entry_base import EntryBase
from measurements.requests.entry_base import MAX_ATTEMPT_COUNT

if TYPE_CHECKING:
    from dogwoodpost.core import messages
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import EndpointListener
    from measurements.requests.entry_base import Record
    from measurements.requests.environment import Attempt
    from measurements.requests.environment import Environment
    from measurements.requests.user import Zone


class BaselineEndpoints:
    """Endpoints of a baseline, with load estimates as in the router."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.loads: dict[str, LoadEstimate] = {}

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add or replace an endpoint, which may not be ready."""
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.loads.setdefault(endpoint.endpoint_id, LoadEstimate())

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Remove an endpoint and its load estimate."""
        self.endpoints.pop(endpoint_id, None)
        self.loads.pop(endpoint_id, None)

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Update the load estimate of an endpoint from a report."""
        if load.endpoint_id in self.loads:
            self.loads[load.endpoint_id].report(load, now_s)

    def record_cache_events(
        self, events: messages.CacheEvents, now_s: float
    ) -> None:
        """Ignore cache events."""

    def ready(self, service: str) -> list[str]:
        """Return the endpoints of a service that may get work."""
        return [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.ready and endpoint.service == service
        ]


class BaselineEntry(EntryBase):
    """Sends requests without delay; they wait in the engines' FIFO queues.

    A failed attempt is retried without delay and without a retry budget.
    """

    def __init__(
        self, environment: Environment, zone: Zone, *, least_loaded: bool
    ) -> None:
        super().__init__(environment, zone)
        self._endpoints = BaselineEndpoints()
        self._least_loaded = least_loaded
        self._round_robin_index = 0

    @property
    def listener(self) -> EndpointListener:
        """Return the listener that receives changes of the directory."""
        return self._endpoints

    def place(self, record: Record) -> None:
        """Send a request to the next or the least loaded endpoint."""
        ready = self._endpoints.ready(record.request.service)
        if not ready:
            self.close(record, 'failed')
            return
        endpoint_id = self._choose(ready)
        attempt_id = self.new_attempt_id()
        self._endpoints.loads[endpoint_id].begin(
            ids.AttemptId(attempt_id), self.environment.loop.now_s
        )
        self.send(record, endpoint_id, attempt_id)

    def retry(self, record: Record, attempt: Attempt) -> None:
        """Send a failed request again."""
        if record.attempt_count >= MAX_ATTEMPT_COUNT:
            self.close(record, 'failed')
            return
        self.place(record)

    def on_attempt_closed(
        self, attempt: Attempt, *, failed: bool, cached_tokens: int
    ) -> None:
        """Remove the attempt from the load estimate of its endpoint."""
        load = self._endpoints.loads.get(attempt.endpoint_id)
        if load is not None:
            load.finish(
                ids.AttemptId(attempt.attempt_id), self.environment.loop.now_s
            )

    def on_closed(self, record: Record) -> None:
        """Do nothing; the baselines hold no resources for a request."""

    def _choose(self, ready: list[str]) -> str:
        self._round_robin_index += 1
        if not self._least_loaded:
            return ready[self._round_robin_index % len(ready)]
        now_s = self.environment.loop.now_s
        return min(
            ready,
            key=lambda name: (
                self._endpoints.loads[name].count(now_s),
                self._endpoints.endpoints[name].availability_zone
                != self.zone.name,
            ),
        )
