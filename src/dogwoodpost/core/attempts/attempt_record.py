"""What an agent remembers of one attempt id."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.core.attempts.retained_response import RetainedResponse

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages


class AttemptState(Enum):
    """State of an attempt id at an agent.

    REFUSED, CANCELLED and MISSING ids have not run and must not run;
    ACKNOWLEDGED ones have run and their output has been dropped.
    """

    RUNNING = 'running'
    ENDED = 'ended'
    ACKNOWLEDGED = 'acknowledged'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    MISSING = 'missing'


class AttemptRecord:
    """An attempt id, kept until ``expiry_s`` of the agent's clock."""

    def __init__(
        self,
        attempt_id: ids.AttemptId,
        state: AttemptState,
        deadline_s: float,
        expiry_s: float,
        entry_id: ids.ProcessId,
        entry_address: str,
    ) -> None:
        self.attempt_id = attempt_id
        self.state = state
        self.deadline_s = deadline_s
        self.expiry_s = expiry_s
        self.entry_id = entry_id
        self.entry_address = entry_address
        self.idempotent = True
        self.is_wanted = True
        self.endpoint_id: ids.EndpointId | None = None
        self.refusal: messages.RefusalReason | None = None
        self.response = RetainedResponse()

    @property
    def is_held(self) -> bool:
        """Return whether the entry may still want output."""
        return self.state in (AttemptState.RUNNING, AttemptState.ENDED)
