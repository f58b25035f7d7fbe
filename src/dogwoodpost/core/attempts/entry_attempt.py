"""One attempt as its entry follows it."""

from __future__ import annotations

from enum import Enum
from functools import singledispatchmethod

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.messages import AttemptOutcome

# A chunk that was overtaken arrives within this time if nothing was lost.
GAP_DELAY_S = 0.1
# Time for the reply to a fetch before the next fetch.
REPEAT_FETCH_S = 0.5
# An attempt without output is fetched this often: the request itself may have
# been lost with a connection.
PROBE_S = 3.0
# Chunks above this size are dropped and fetched again once the caller has
# taken the earlier ones.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024


class EntryAttemptState(Enum):
    """What the entry knows of the end of an attempt."""

    OPEN = 'open'
    ENDED = 'ended'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


Output = messages.ResponseHead | messages.ResponseChunk | messages.ResponseEnd


class EntryAttempt:
    """Puts the output of an attempt in order and decides on its outcome.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(
        self,
        attempt_id: ids.AttemptId,
        agent_incarnation: ids.Incarnation,
        deadline_s: float,
        now_s: float,
        *,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.attempt_id = attempt_id
        self.agent_incarnation = agent_incarnation
        self.deadline_s = deadline_s
        self.state = EntryAttemptState.OPEN
        self.refusal: messages.AttemptRefused | None = None
        self.detail = ''
        self.next_index = 0
        self.fetch_due_s = now_s + PROBE_S
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered_bytes = 0
        self._head: messages.ResponseHead | None = None
        self._head_taken = False
        self._chunks: dict[int, messages.ResponseChunk] = {}
        self._end: messages.ResponseEnd | None = None
        self._seen_count = 0
        self._is_probing = True

    def handle(self, message: messages.Message, now_s: float) -> None:
        """Take a message of the agent; late and repeated ones do no harm."""
        if self.state is not EntryAttemptState.OPEN:
            return
        if now_s >= self.deadline_s:
            self.give_up('the deadline has passed')
            return
        self._handle(message)
        if not self._is_waiting():
            self._is_probing = True
            self.fetch_due_s = now_s + PROBE_S
        else:
            self._fetch_gap(now_s)

    def take(self) -> list[Output]:
        """Return the output that is next in order."""
        output: list[Output] = []
        if self.state is not EntryAttemptState.OPEN:
            return output
        if self._head is None:
            return self._take_failed_end()
        if not self._head_taken:
            self._head_taken = True
            output.append(self._head)
        while self.next_index in self._chunks:
            chunk = self._chunks.pop(self.next_index)
            self._buffered_bytes -= len(chunk.data)
            self.next_index += 1
            output.append(chunk)
        end = self._end
        if end is not None and end.chunk_count == self.next_index:
            self.state = EntryAttemptState.ENDED
            output.append(end)
            return output
        return output + self._take_failed_end()

    def fetch_if_due(self, now_s: float) -> bool:
        """Return whether to fetch from ``next_index`` on now."""
        if self.state is not EntryAttemptState.OPEN:
            return False
        is_waiting = self._is_waiting()
        if is_waiting:
            # The caller may have made room for chunks dropped before.
            self._fetch_gap(now_s)
        if now_s < self.fetch_due_s:
            return False
        self.fetch_due_s = now_s + (REPEAT_FETCH_S if is_waiting else PROBE_S)
        return True

    def fetch_soon(self, now_s: float) -> None:
        """Make a fetch due after the connection was opened again."""
        self.fetch_due_s = now_s

    def not_sent(self) -> None:
        """Note that the request was never handed to the transport."""
        self.state = EntryAttemptState.NOT_RUN

    def give_up(self, detail: str) -> None:
        """End an open attempt whose outcome can't be learned."""
        if self.state is EntryAttemptState.OPEN:
            self.state = EntryAttemptState.UNKNOWN
            self.detail = detail

    def remaining_ms(self, now_s: float) -> int:
        """Return the time to the deadline in ms, 0 if it has passed."""
        return max(int((self.deadline_s - now_s) * 1000), 0)

    def _fetch_gap(self, now_s: float) -> None:
        if self._is_probing:
            self._is_probing = False
            self.fetch_due_s = min(self.fetch_due_s, now_s + GAP_DELAY_S)

    def _is_waiting(self) -> bool:
        """Return whether output is missing that the agent has."""
        end = self._end
        if end is not None and _has_failed(end):
            return False
        expected_count = self._seen_count
        if end is not None:
            expected_count = end.chunk_count
        if self._head is None and (expected_count > 0 or end is not None):
            return True
        if self.next_index in self._chunks:
            return False
        return self.next_index + len(self._chunks) < expected_count

    def _take_failed_end(self) -> list[Output]:
        end = self._end
        if end is None or not _has_failed(end):
            return []
        self.state = EntryAttemptState.ENDED
        return [end]

    @singledispatchmethod
    def _handle(self, message: messages.Message) -> None:
        """Ignore messages that are no part of an attempt."""

    @_handle.register
    def _(self, message: messages.ResponseHead) -> None:
        if self._is_own(message) and self._head is None:
            self._head = message

    @_handle.register
    def _(self, message: messages.ResponseChunk) -> None:
        index = message.index
        if not self._is_own(message):
            return
        self._seen_count = max(self._seen_count, index + 1)
        if index < self.next_index or index in self._chunks:
            return
        # The next chunk is always taken, so that a full buffer can't block it.
        size = self._buffered_bytes + len(message.data)
        if size > self._max_buffered_bytes and index != self.next_index:
            return
        self._chunks[index] = message
        self._buffered_bytes = size

    @_handle.register
    def _(self, message: messages.ResponseEnd) -> None:
        if not self._is_own(message):
            return
        # A failed end replaces a clean one whose chunks are no longer kept.
        if self._end is None or _has_failed(message):
            self._end = message

    @_handle.register
    def _(self, message: messages.AttemptRefused) -> None:
        if not self._is_own(message):
            # An earlier copy may have run in the incarnation that is gone.
            self.give_up('the agent has restarted')
            return
        self._note_not_run()
        self.refusal = message

    @_handle.register
    def _(self, message: messages.AttemptMissing) -> None:
        if message.restarted or not self._is_own(message):
            self.give_up('the agent has restarted')
            return
        self._note_not_run()

    def _note_not_run(self) -> None:
        has_output = self._head is not None or self._end is not None
        if has_output or self._seen_count > 0:
            self.give_up('the agent denies a response that it began')
            return
        self.state = EntryAttemptState.NOT_RUN
        self.detail = 'the agent has not run the request'

    def _is_own(self, message: messages.Message) -> bool:
        return message.sender_incarnation == self.agent_incarnation


def _has_failed(end: messages.ResponseEnd) -> bool:
    return end.outcome is not AttemptOutcome.COMPLETED
