"""Record of one attempt at its agent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core import messages


class AttemptKey(NamedTuple):
    """Key of an attempt; includes the entry, so entries never share one."""

    entry_id: ids.ProcessId
    attempt_id: ids.AttemptId


class RecordState(Enum):
    """State of an attempt at its agent.

    ``FORGOTTEN``: the attempt has run, and its response has been dropped.
    """

    REFUSED = 'refused'
    RUNNING = 'running'
    FINISHED = 'finished'
    FORGOTTEN = 'forgotten'


class AttemptRecord:
    """State and retained response of one attempt.

    ``cancelled`` is set when the attempt must stop, for any reason, and
    ``abandoned`` when its entry no longer wants the response.
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
        self.cancelled = False
        self.abandoned = False
        self.connected = True
        self.head: messages.ResponseHead | None = None
        self.chunks: list[messages.ResponseChunk] = []
        self.end: messages.ResponseEnd | None = None
        self.retained_bytes = 0

    def drop_response(self) -> None:
        """Drop the retained response; the attempt id is still remembered."""
        self.state = RecordState.FORGOTTEN
        self.head = None
        self.chunks = []
        self.end = None
        self.retained_bytes = 0
