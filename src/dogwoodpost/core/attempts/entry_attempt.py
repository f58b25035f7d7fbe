"""State of one attempt at its entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.core.http_headers import is_header
from dogwoodpost.core.http_status import is_final_status
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptEvent

# Delay until missing chunks are fetched. A chunk that was only reordered
# usually arrives within a few milliseconds.
GAP_TIMEOUT_S = 0.2
# Shortest time between two fetches. A fetch makes the agent send all chunks
# from the first missing one on again.
FETCH_PERIOD_S = 1.0
# Time without any part of the response until the rest is fetched.
IDLE_TIMEOUT_S = 3.0
# Time after the deadline for the end message that the agent sends at the
# deadline, and for one fetch. Must stay below MAX_START_AGE_S, because the
# agent forgets the id after that.
DEADLINE_GRACE_S = 2.0
MAX_BUFFERED_COUNT = 4_096
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
_DEADLINE_MESSAGE = 'no end of the response before the deadline'

AttemptError = AttemptNotRunError | AttemptOutcomeUnknownError
ResponsePart = (
    messages.AttemptRefused
    | messages.AttemptMissing
    | messages.ResponseHead
    | messages.ResponseChunk
    | messages.ResponseEnd
)


class EntryAttempt:
    """Reassembles the response of one attempt and detects its failure.

    ``done`` is set at the end of the attempt. Then either ``completed`` is
    set, or ``error`` tells why there is no complete response. Times are
    seconds of the caller's monotonic clock.
    """

    def __init__(
        self,
        attempt_id: ids.AttemptId,
        agent_incarnation: ids.Incarnation,
        timeout_s: float,
        now_s: float,
    ) -> None:
        self.attempt_id = attempt_id
        self.agent_incarnation = agent_incarnation
        self.deadline_s = now_s + timeout_s
        self.next_index = 0
        self.error: AttemptError | None = None
        self.done = False
        self.completed = False
        self._head: messages.ResponseHead | None = None
        self._head_returned = False
        self._buffer: dict[int, bytes] = {}
        self._buffered_bytes = 0
        self._end: messages.ResponseEnd | None = None
        self._last_part_s = now_s
        self._last_fetch_s = now_s
        self._gap_since_s: float | None = None

    def receive(self, part: ResponsePart, now_s: float) -> None:
        """Record a part of the response; parts may come in any order."""
        if self.done:
            return
        self._last_part_s = now_s
        if self._is_overdue(now_s):
            # The agent may have forgotten the attempt by now.
            self._fail_unknown(_DEADLINE_MESSAGE)
        elif part.sender_incarnation != self.agent_incarnation:
            # Another incarnation of the agent has no record of this attempt,
            # so its answer does not show whether the attempt has run.
            self._fail_unknown('the agent has restarted')
        elif isinstance(part, messages.ResponseHead):
            self._receive_head(part)
        elif isinstance(part, messages.ResponseChunk):
            self._receive_chunk(part)
        elif isinstance(part, messages.ResponseEnd):
            self._receive_end(part)
        else:
            self._receive_refusal(part)

    def take_events(self) -> list[AttemptEvent]:
        """Return the new events of the response, in order and only once."""
        events: list[AttemptEvent] = []
        if self.done:
            return events
        if self._head is not None and not self._head_returned:
            self._head_returned = True
            events.append(AttemptHead(self._head.status, self._head.headers))
        while self._head_returned and self.next_index in self._buffer:
            data = self._buffer.pop(self.next_index)
            self._buffered_bytes -= len(data)
            self.next_index += 1
            events.append(AttemptData(data))
        end = self._end
        if end is not None and self._is_whole(end):
            self.done = True
            self.completed = True
            events.append(_end_event(end))
        return events

    def agent_restarted(self) -> None:
        """Fail the attempt because the agent has a new incarnation."""
        self._fail_unknown('the agent has restarted')

    def agent_gone(self) -> None:
        """Fail the attempt because the agent has been silent for too long."""
        self._fail_unknown('the agent is silent')

    def poll(self, now_s: float) -> bool:
        """Return whether to fetch missing parts of the response now.

        Fails the attempt if its deadline and the grace period have passed.
        """
        if self.done:
            return False
        if self._is_overdue(now_s):
            self._fail_unknown(_DEADLINE_MESSAGE)
            return False
        self._update_gap(now_s)
        since_fetch_s = now_s - self._last_fetch_s
        gap_since_s = self._gap_since_s
        if gap_since_s is not None:
            gap_due = now_s - gap_since_s >= GAP_TIMEOUT_S
            due = gap_due and since_fetch_s >= FETCH_PERIOD_S
        else:
            since_part_s = now_s - self._last_part_s
            due = min(since_part_s, since_fetch_s) >= IDLE_TIMEOUT_S
        if due:
            self._last_fetch_s = now_s
        return due

    def remaining_ms(self, now_s: float) -> int:
        """Return the milliseconds until the deadline, at least 0."""
        return max(int((self.deadline_s - now_s) * 1000), 0)

    def _is_overdue(self, now_s: float) -> bool:
        return now_s > self.deadline_s + DEADLINE_GRACE_S

    def _receive_head(self, head: messages.ResponseHead) -> None:
        """Record the head, which an earlier build passes on unchecked."""
        is_sound = is_final_status(head.status) and all(
            is_header(name, value) for name, value in head.headers
        )
        if is_sound:
            self._head = self._head or head
        else:
            self._fail_unknown('malformed response head')

    def _receive_chunk(self, part: messages.ResponseChunk) -> None:
        index = part.index
        if index < self.next_index or index in self._buffer:
            return
        size = self._buffered_bytes + len(part.data)
        # A chunk that does not fit is dropped, and fetched again once the
        # consumer has taken the buffered ones.
        if index != self.next_index and (
            len(self._buffer) >= MAX_BUFFERED_COUNT
            or size > MAX_BUFFERED_BYTES
        ):
            return
        self._buffer[index] = part.data
        self._buffered_bytes = size

    def _receive_end(self, part: messages.ResponseEnd) -> None:
        # An end message with fewer chunks than the last one means that the
        # agent has dropped the response.
        if self._end is None or part.chunk_count < self._end.chunk_count:
            self._end = part

    def _receive_refusal(
        self, part: messages.AttemptRefused | messages.AttemptMissing
    ) -> None:
        if self._head or self._buffer or self._end or self.next_index:
            return
        self.done = True
        if isinstance(part, messages.AttemptMissing):
            if part.restarted:
                self._fail_unknown('the agent has restarted')
            else:
                self.error = AttemptNotRunError(
                    None, 'the request did not reach the agent'
                )
            return
        retry_ms = part.retry_after_ms
        self.error = AttemptNotRunError(
            part.reason,
            f'the agent refused the attempt: {part.reason.value}',
            None if retry_ms is None else retry_ms / 1000,
        )

    def _is_whole(self, end: messages.ResponseEnd) -> bool:
        if end.outcome is not messages.AttemptOutcome.COMPLETED:
            # A failed response may lack its head. Its chunks are awaited only
            # while they can be fetched: the chunk count is 0 if the agent has
            # dropped the response.
            return end.chunk_count <= self.next_index
        return self._head_returned and self.next_index == end.chunk_count

    def _update_gap(self, now_s: float) -> None:
        end = self._end
        missing_end = end is not None and not self._is_whole(end)
        has_gap = bool(self._buffer) or missing_end
        if not has_gap or (self._head and self.next_index in self._buffer):
            self._gap_since_s = None
        elif self._gap_since_s is None:
            self._gap_since_s = now_s

    def _fail_unknown(self, message: str) -> None:
        self.done = True
        self.error = AttemptOutcomeUnknownError(message)


def _end_event(end: messages.ResponseEnd) -> AttemptEnd:
    return AttemptEnd(
        outcome=end.outcome,
        detail=end.detail,
        weight_versions=end.weight_versions,
        prompt_tokens=end.prompt_tokens,
        cached_tokens=end.cached_tokens,
        completion_tokens=end.completion_tokens,
    )
