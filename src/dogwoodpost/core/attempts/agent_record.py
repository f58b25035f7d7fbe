"""One attempt in an agent's memory."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages


class AttemptKey(NamedTuple):
    """Names an attempt; two entries never share one."""

    entry_id: ids.ProcessId
    attempt_id: ids.AttemptId


class RecordState(Enum):
    """Where an attempt stands at its agent."""

    REFUSED = 'refused'
    RUNNING = 'running'
    FINISHED = 'finished'
    FORGOTTEN = 'forgotten'


class AttemptRecord:
    """State and retained response of one attempt.

    ``FORGOTTEN`` means that it has run and that its response is dropped.
    """

    def __init__(
        self,
        key: AttemptKey,
        state: RecordState,
        *,
        owner_address: str,
        owner_incarnation: ids.Incarnation,
        deadline_s: float,
        endpoint_id: ids.EndpointId | None = None,
        reason: messages.RefusalReason | None = None,
        idempotent: bool = True,
    ) -> None:
        self.key = key
        self.state = state
        self.owner_address = owner_address
        self.owner_incarnation = owner_incarnation
        self.deadline_s = deadline_s
        self.endpoint_id = endpoint_id
        self.reason = reason
        self.idempotent = idempotent
        # Stopped for any reason; the owner wants no response any more.
        self.cancelled = False
        self.abandoned = False
        self.connected = True
        self.head: messages.ResponseHead | None = None
        self.chunks: list[messages.ResponseChunk] = []
        self.end: messages.ResponseEnd | None = None
        self.retained_bytes = 0

    def drop_response(self) -> None:
        """Drop the retained response; the id stays known."""
        self.state = RecordState.FORGOTTEN
        self.head = None
        self.chunks = []
        self.end = None
        self.retained_bytes = 0
