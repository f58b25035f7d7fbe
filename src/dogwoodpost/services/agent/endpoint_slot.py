"""One endpoint beside the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.messages import RefusalReason

if TYPE_CHECKING:
    from dogwoodpost.config import EndpointSettings
    from dogwoodpost.ports.endpoint_client import EndpointClient


class EndpointSlot:
    """An endpoint, its client and what the agent knows of it."""

    def __init__(
        self, settings: EndpointSettings, client: EndpointClient
    ) -> None:
        self.endpoint_id = ids.EndpointId(settings.endpoint_id)
        self.service = ids.ServiceName(settings.service)
        self.checks_fencing = settings.checks_fencing
        self.client = client
        self.draining = False
        self.ready = True
        self.weight_version: ids.WeightVersion | None = None
        self.running_count = 0
        self._max_concurrency = settings.max_concurrency

    @property
    def state(self) -> messages.EndpointState:
        """Return what heartbeats tell of the endpoint."""
        return messages.EndpointState(
            endpoint_id=self.endpoint_id,
            service=self.service,
            weight_version=self.weight_version,
            ready=self.ready,
            draining=self.draining,
        )

    def refusal(self) -> RefusalReason | None:
        """Return why a new attempt can't run now."""
        if self.draining:
            return RefusalReason.DRAINING
        if self.running_count >= self._max_concurrency:
            return RefusalReason.OVERLOADED
        return None

    def set_weight_version(self, argument: str) -> None:
        """Note the version that an accepted order has switched to."""
        if argument.isdecimal():
            self.weight_version = ids.WeightVersion(int(argument))
