"""Polls the endpoints for what heartbeats report of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from mode import Service

from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.agent.endpoint_slot import EndpointSlot

POLL_INTERVAL_S = 1.0
# Plain services have no load path, and a crashed engine needs no more calls.
FAILED_POLL_INTERVAL_S = 5.0


class EndpointReports(Service):
    """Keeps the last load report of each endpoint."""

    def __init__(
        self,
        slots: Collection[EndpointSlot],
        sender: Sender,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._slots = slots
        self._sender = sender
        self._clock = clock
        self._loads: dict[
            ids.EndpointId, tuple[float, messages.EndpointLoad]
        ] = {}

    async def on_start(self) -> None:
        """Start polling."""
        for slot in self._slots:
            self.add_future(self._poll(slot))

    def load_report(self) -> messages.LoadReport:
        """Return the loads with their present age."""
        now_s = self._clock.monotonic_s()
        return messages.LoadReport(
            **self._sender.fields(),
            loads=tuple(self._load(slot, now_s) for slot in self._slots),
        )

    def _load(self, slot: EndpointSlot, now_s: float) -> messages.EndpointLoad:
        polled = self._loads.get(slot.endpoint_id)
        if polled is None:
            # The agent sees all requests of an endpoint without load reports.
            return messages.EndpointLoad(
                endpoint_id=slot.endpoint_id,
                running_count=slot.running_count,
                waiting_count=0,
            )
        polled_s, load = polled
        age_ms = load.age_ms + int((now_s - polled_s) * 1000)
        return msgspec.structs.replace(load, age_ms=age_ms)

    async def _poll(self, slot: EndpointSlot) -> None:
        while not self.should_stop:
            delay_s = POLL_INTERVAL_S
            asked_s = self._clock.monotonic_s()
            try:
                load = await slot.client.load()
            except EndpointError:
                delay_s = FAILED_POLL_INTERVAL_S
            else:
                self._loads[slot.endpoint_id] = (asked_s, load)
            await self._clock.sleep(delay_s)
