"""The attempts of one agent."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.attempt_record import AttemptRecord
from dogwoodpost.core.attempts.attempt_record import AttemptState
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason

if TYPE_CHECKING:
    from dogwoodpost.core.attempts.hello_times import HelloTimes
    from dogwoodpost.core.attempts.sender import Sender

# A full table takes about 100 MB at 1 kB per id.
MAX_ID_COUNT = 100_000
NOT_RETAINED = 'the response is no longer retained'


class StartDecision(msgspec.Struct, frozen=True):
    """Whether to run an attempt, and what to send."""

    run: bool
    replies: tuple[messages.AnyMessage, ...] = ()


IGNORED = StartDecision(False)


class AgentAttempts:
    """Runs each attempt id at most once and keeps its output.

    An id is remembered until no copy of its request can be accepted any more:
    until its deadline, and at least until copies are too old. Times are
    seconds of the caller's monotonic clock.
    """

    def __init__(
        self,
        sender: Sender,
        hello_times: HelloTimes,
        *,
        retained_bytes: int,
        max_id_count: int = MAX_ID_COUNT,
    ) -> None:
        self._sender = sender
        self._hello_times = hello_times
        self._max_retained_bytes = retained_bytes
        self._max_id_count = max_id_count
        self._records: dict[ids.AttemptId, AttemptRecord] = {}
        self._expiries: list[tuple[float, ids.AttemptId]] = []
        self._retained_bytes = 0
        # Requests that name an older heartbeat are refused: one of them may
        # be a copy of a request whose refusal could not be remembered.
        self._first_sequence = 1

    @property
    def id_count(self) -> int:
        """Return the number of remembered ids."""
        return len(self._records)

    @property
    def retained_bytes(self) -> int:
        """Return the size of the kept output."""
        return self._retained_bytes

    def record(self, attempt_id: ids.AttemptId) -> AttemptRecord | None:
        """Return what is remembered of an id."""
        return self._records.get(attempt_id)

    def held(self) -> list[AttemptRecord]:
        """Return the attempts whose entry may still want output."""
        return [record for record in self._records.values() if record.is_held]

    def start(
        self,
        message: messages.StartAttempt,
        now_s: float,
        refusal: RefusalReason | None = None,
    ) -> StartDecision:
        """Decide on a request to run an attempt.

        :param refusal: why the caller can't run a new attempt now.
        """
        if not self._is_own(message):
            return self._refusal(
                message.attempt_id, RefusalReason.WRONG_INCARNATION
            )
        known = self._records.get(message.attempt_id)
        if known is not None:
            return self._repeat(known)
        reason = self._own_refusal(message, now_s) or refusal
        if len(self._records) >= self._max_id_count:
            return self._refuse_unremembered(message)
        record = self._remember(
            message,
            AttemptState.RUNNING if reason is None else AttemptState.REFUSED,
            now_s,
        )
        if reason is not None:
            record.refusal = reason
            return self._refusal(message.attempt_id, reason)
        record.idempotent = message.idempotent
        record.endpoint_id = message.endpoint_id
        return StartDecision(True)

    def fetch(
        self, message: messages.FetchAttempt, now_s: float
    ) -> tuple[messages.AnyMessage, ...]:
        """Return the reply to a fetch."""
        record = self._records.get(message.attempt_id)
        if record is None:
            return (self._missing(message, now_s),)
        record.entry_address = message.sender_address
        if record.state is AttemptState.MISSING:
            return (self._missing_reply(message),)
        if record.state is AttemptState.ACKNOWLEDGED:
            return (self._lost_response(record),)
        if not record.is_held:
            reason = record.refusal or RefusalReason.CANCELLED
            return self._refusal(message.attempt_id, reason).replies
        if not record.response.has_from(message.next_index):
            return (self._lost_response(record),)
        return tuple(record.response.output_from(message.next_index))

    def cancel(self, message: messages.CancelAttempt, now_s: float) -> bool:
        """Return whether a running attempt has to be cancelled.

        The id of an attempt that has not come yet will not run.
        """
        record = self._records.get(message.attempt_id)
        if record is not None:
            record.is_wanted = False
            if record.state is AttemptState.ENDED:
                self._drop_output(record)
            return record.state is AttemptState.RUNNING
        if len(self._records) >= self._max_id_count:
            self._bar_earlier_requests()
            return False
        self._remember(message, AttemptState.CANCELLED, now_s)
        return False

    def acknowledge(self, attempt_id: ids.AttemptId) -> None:
        """Drop the output of an attempt that has ended."""
        record = self._records.get(attempt_id)
        if record is not None and record.state is AttemptState.ENDED:
            self._drop_output(record)

    def add_head(self, head: messages.ResponseHead) -> None:
        """Keep the head of a running attempt."""
        record = self._records.get(head.attempt_id)
        if record is not None and record.state is AttemptState.RUNNING:
            record.response.head = head

    def add_chunk(self, chunk: messages.ResponseChunk) -> None:
        """Keep a chunk of a running attempt."""
        record = self._records.get(chunk.attempt_id)
        if record is None or record.state is not AttemptState.RUNNING:
            return
        record.response.add_chunk(chunk)
        self._retained_bytes += len(chunk.data)
        if self._retained_bytes > self._max_retained_bytes:
            self._free_memory()

    def end(self, end: messages.ResponseEnd) -> None:
        """Keep the end mark of a running attempt."""
        record = self._records.get(end.attempt_id)
        if record is not None and record.state is AttemptState.RUNNING:
            record.response.end = end
            record.state = AttemptState.ENDED
            if not record.is_wanted:
                self._drop_output(record)

    def expire(self, now_s: float) -> None:
        """Forget ids that are no longer needed; running ones are kept."""
        while self._expiries and self._expiries[0][0] <= now_s:
            _, attempt_id = heapq.heappop(self._expiries)
            record = self._records[attempt_id]
            if record.state is AttemptState.RUNNING:
                expiry_s = now_s + self._hello_times.max_age_s
                heapq.heappush(self._expiries, (expiry_s, attempt_id))
                continue
            self._retained_bytes -= record.response.drop_chunks()
            del self._records[attempt_id]

    def _own_refusal(
        self, message: messages.StartAttempt, now_s: float
    ) -> RefusalReason | None:
        if message.remaining_ms <= 0:
            return RefusalReason.DEADLINE_PASSED
        sequence = message.heard_sequence
        if sequence < self._first_sequence:
            return RefusalReason.OVERLOADED
        if self._hello_times.is_stale(sequence, now_s):
            return RefusalReason.STALE
        return None

    def _repeat(self, record: AttemptRecord) -> StartDecision:
        """Answer a copy: the refusal again, or nothing if it has run."""
        if record.is_held or record.state is AttemptState.ACKNOWLEDGED:
            return IGNORED
        reason = record.refusal or RefusalReason.CANCELLED
        return self._refusal(record.attempt_id, reason)

    def _remember(
        self,
        message: messages.StartAttempt
        | messages.FetchAttempt
        | messages.CancelAttempt,
        state: AttemptState,
        now_s: float,
    ) -> AttemptRecord:
        deadline_s = now_s + max(message.remaining_ms, 0) / 1000
        record = AttemptRecord(
            message.attempt_id,
            state,
            deadline_s,
            deadline_s + self._hello_times.max_age_s,
            message.sender_id,
            message.sender_address,
        )
        self._records[message.attempt_id] = record
        heapq.heappush(self._expiries, (record.expiry_s, record.attempt_id))
        return record

    def _missing(
        self, message: messages.FetchAttempt, now_s: float
    ) -> messages.AttemptMissing:
        if self._is_own(message):
            if len(self._records) >= self._max_id_count:
                self._bar_earlier_requests()
            else:
                self._remember(message, AttemptState.MISSING, now_s)
        return self._missing_reply(message)

    def _missing_reply(
        self, message: messages.FetchAttempt
    ) -> messages.AttemptMissing:
        return messages.AttemptMissing(
            **self._sender.fields(),
            attempt_id=message.attempt_id,
            restarted=not self._is_own(message),
        )

    def _is_own(
        self, message: messages.StartAttempt | messages.FetchAttempt
    ) -> bool:
        return message.agent_incarnation == self._sender.incarnation

    def _refuse_unremembered(
        self, message: messages.StartAttempt
    ) -> StartDecision:
        sequence = min(
            message.heard_sequence, self._hello_times.latest_sequence
        )
        self._first_sequence = max(self._first_sequence, sequence + 1)
        return self._refusal(message.attempt_id, RefusalReason.OVERLOADED)

    def _bar_earlier_requests(self) -> None:
        self._first_sequence = self._hello_times.latest_sequence + 1

    def _refusal(
        self, attempt_id: ids.AttemptId, reason: RefusalReason
    ) -> StartDecision:
        refused = messages.AttemptRefused(
            **self._sender.fields(), attempt_id=attempt_id, reason=reason
        )
        return StartDecision(False, (refused,))

    def _lost_response(self, record: AttemptRecord) -> messages.ResponseEnd:
        return messages.ResponseEnd(
            **self._sender.fields(),
            attempt_id=record.attempt_id,
            chunk_count=record.response.chunk_count,
            outcome=AttemptOutcome.ENDPOINT_FAILED,
            detail=NOT_RETAINED,
        )

    def _drop_output(self, record: AttemptRecord) -> None:
        record.state = AttemptState.ACKNOWLEDGED
        self._retained_bytes -= record.response.drop_chunks()

    def _free_memory(self) -> None:
        """Drop the oldest output, ended attempts first."""
        held = self.held()
        held.sort(key=lambda record: record.state is AttemptState.RUNNING)
        for record in held:
            if self._retained_bytes <= self._max_retained_bytes * 3 // 4:
                return
            self._retained_bytes -= record.response.drop_chunks()
