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
    from measurements.requests.user import Zone
    from measurements.requests.world import Attempt
    from measurements.requests.world import World


class EndpointList:
    """Ready endpoints with the same load knowledge as the router's."""

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.loads: dict[str, LoadEstimate] = {}

    def upsert(self, endpoint: Endpoint, now_s: float) -> None:
        """Add, replace or take out an endpoint."""
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.loads.setdefault(endpoint.endpoint_id, LoadEstimate())

    def remove(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Forget an endpoint."""
        self.endpoints.pop(endpoint_id, None)
        self.loads.pop(endpoint_id, None)

    def report_load(self, load: messages.EndpointLoad, now_s: float) -> None:
        """Take a load report."""
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
    """Sends at once; requests wait in the engines' FIFO queues.

    A failed attempt is retried at once, without a budget.
    """

    def __init__(
        self, world: World, zone: Zone, *, least_loaded: bool
    ) -> None:
        super().__init__(world, zone)
        self._list = EndpointList()
        self._least_loaded = least_loaded
        self._turn = 0

    @property
    def listener(self) -> EndpointListener:
        """Return what the directory informs."""
        return self._list

    def place(self, record: Record) -> None:
        """Send a request to the next or the least loaded endpoint."""
        ready = self._list.ready(record.request.service)
        if not ready:
            self.close(record, 'failed')
            return
        endpoint_id = self._choose(ready)
        attempt_id = self.new_attempt_id()
        self._list.loads[endpoint_id].begin(
            ids.AttemptId(attempt_id), self.world.loop.now_s
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
        """Take the attempt off its endpoint's load."""
        load = self._list.loads.get(attempt.endpoint_id)
        if load is not None:
            load.finish(
                ids.AttemptId(attempt.attempt_id), self.world.loop.now_s
            )

    def on_closed(self, record: Record) -> None:
        """Nothing to release."""

    def _choose(self, ready: list[str]) -> str:
        self._turn += 1
        if not self._least_loaded:
            return ready[self._turn % len(ready)]
        now_s = self.world.loop.now_s
        return min(
            ready,
            key=lambda name: (
                self._list.loads[name].count(now_s),
                self._list.endpoints[name].availability_zone != self.zone.name,
            ),
        )
