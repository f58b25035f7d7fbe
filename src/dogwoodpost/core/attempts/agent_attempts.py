"""Attempts at an agent: admission, response retention and expiry."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.agent_record import AttemptKey
from dogwoodpost.core.attempts.agent_record import AttemptRecord
from dogwoodpost.core.attempts.agent_record import RecordState
from dogwoodpost.core.attempts.hello_times import HelloTimes

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from dogwoodpost.core.membership.identity import ProcessIdentity

# A StartAttempt that may be older than this is refused. Ids are remembered for
# the same time after their deadline, so a copy of a message is recognised
# either by its id or by its age, and an attempt never runs twice.
MAX_START_AGE_S = 10.0
_OVERLOAD_RETRY_MS = 500
_RECORD_OVERHEAD_BYTES = 256

Reason = messages.RefusalReason
Outcome = messages.AttemptOutcome


class AgentAttemptLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the memory of an agent."""

    retained_bytes: int = 64 * 1024 * 1024
    # About 4 attempts/s at each of 11 samplers, remembered for 5 min.
    remembered_count: int = 50_000


class ResponseTooLargeError(Exception):
    """The response of a running attempt exceeds the memory limit."""


class AgentAttempts:
    """Attempts of one agent.

    Decides which attempts run, retains their responses until the entry
    acknowledges them, and remembers the ids of attempts that ran or were
    refused. Times are seconds of the caller's monotonic clock.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        endpoint_concurrency: dict[ids.EndpointId, int],
        limits: AgentAttemptLimits,
        now_s: float,
    ) -> None:
        self._sender = identity.sender_fields()
        self._incarnation = identity.incarnation
        self._concurrency = dict(endpoint_concurrency)
        self._limits = limits
        self._records: dict[AttemptKey, AttemptRecord] = {}
        self._hello_times = HelloTimes(now_s)
        self._first_accepted_hello = 0
        self._running = dict.fromkeys(endpoint_concurrency, 0)
        self._out_of_rotation: set[ids.EndpointId] = set()
        self.retained_bytes = 0
        self.draining = False

    # Heartbeats and rotation

    def record_hello(self, sequence: int, now_s: float) -> None:
        """Record that a heartbeat is being sent to the entries."""
        self._hello_times.record(sequence, now_s)

    def set_rotation(self, endpoint_id: ids.EndpointId, serving: bool) -> None:
        """Take an endpoint out of rotation, or back into it."""
        if serving:
            self._out_of_rotation.discard(endpoint_id)
        else:
            self._out_of_rotation.add(endpoint_id)

    def is_out_of_rotation(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether an endpoint accepts no new attempts."""
        return endpoint_id in self._out_of_rotation

    def running_count(self, endpoint_id: ids.EndpointId | None = None) -> int:
        """Return the number of running attempts of one or all endpoints."""
        if endpoint_id is None:
            return sum(self._running.values())
        return self._running.get(endpoint_id, 0)

    def remembered_id_count(self) -> int:
        """Return the number of remembered attempt ids."""
        return len(self._records)

    def unacknowledged_count(self) -> int:
        """Return the number of attempts whose response is not acknowledged."""
        states = (RecordState.RUNNING, RecordState.FINISHED)
        return sum(r.state in states for r in self._records.values())

    # Messages from entries

    def start(
        self, message: messages.StartAttempt, now_s: float
    ) -> AttemptRecord | messages.AttemptRefused | None:
        """Accept or refuse an attempt.

        :returns: the record of an attempt to run; a refusal; or None for a
            repeated message whose attempt is running or has run.
        """
        key = AttemptKey(message.sender_id, message.attempt_id)
        previous = self._records.get(key)
        if previous is not None:
            if previous.state is not RecordState.REFUSED:
                return None
            return self._refusal_message(
                key, previous.reason or Reason.DUPLICATE
            )
        reason = self._refusal_reason(message, now_s)
        state = RecordState.RUNNING if reason is None else RecordState.REFUSED
        record = AttemptRecord(
            key,
            state,
            owner_address=message.sender_address,
            owner_incarnation=message.sender_incarnation,
            deadline_s=now_s + message.remaining_ms / 1000,
            endpoint_id=message.endpoint_id,
            reason=reason,
            idempotent=message.idempotent,
        )
        self._remember(record)
        if reason is not None:
            return self._refusal_message(key, reason)
        self._running[message.endpoint_id] += 1
        return record

    def fetch(
        self, message: messages.FetchAttempt, now_s: float
    ) -> Sequence[messages.AnyMessage]:
        """Return the retained parts of a response from a chunk index on.

        If the attempt is unknown, its id is refused from now on.
        """
        key = AttemptKey(message.sender_id, message.attempt_id)
        record = self._records.get(key)
        if record is None:
            record = self._refuse_later_starts(
                message, Reason.DUPLICATE, now_s
            )
            return (self._missing_message(message),)
        if record.state is RecordState.REFUSED:
            return (
                self._refusal_message(key, record.reason or Reason.DUPLICATE),
            )
        if record.state is RecordState.FORGOTTEN:
            detail = 'the response is no longer retained'
            return (
                self._end_message(key, 0, Outcome.ENDPOINT_FAILED, detail),
            )
        record.owner_address = message.sender_address
        record.connected = True
        return tuple(_retained_parts(record, message.next_index))

    def cancel(
        self, message: messages.CancelAttempt, now_s: float
    ) -> AttemptRecord | messages.AttemptRefused | None:
        """Cancel an attempt.

        :returns: the record of the running attempt to stop; a refusal if the
            attempt has not run and never will; None if it has finished.
        """
        key = AttemptKey(message.sender_id, message.attempt_id)
        record = self._records.get(key)
        if record is None:
            self._refuse_later_starts(message, Reason.CANCELLED, now_s)
            return self._refusal_message(key, Reason.CANCELLED)
        if record.state is RecordState.RUNNING:
            record.cancelled = True
            record.abandoned = True
            return record
        if record.state is RecordState.REFUSED:
            return self._refusal_message(
                key, record.reason or Reason.CANCELLED
            )
        self._drop_response(record)
        return None

    def acknowledge(self, message: messages.AcknowledgeAttempt) -> None:
        """Drop a finished response; its attempt id is still remembered."""
        key = AttemptKey(message.sender_id, message.attempt_id)
        record = self._records.get(key)
        if record is not None and record.state is RecordState.FINISHED:
            self._drop_response(record)

    # Progress at the endpoint

    def add_head(
        self,
        record: AttemptRecord,
        status: int,
        headers: tuple[tuple[str, str], ...],
    ) -> messages.ResponseHead:
        """Retain the head of a response; return the message to send."""
        record.head = messages.ResponseHead(
            **self._sender,
            attempt_id=record.key.attempt_id,
            status=status,
            headers=headers,
        )
        return record.head

    def add_chunk(
        self, record: AttemptRecord, data: bytes
    ) -> messages.ResponseChunk:
        """Retain a chunk of a response; return the message to send.

        :raises ResponseTooLargeError: the retained bytes exceed the limit
            even without the finished responses.
        """
        size = len(data) + _RECORD_OVERHEAD_BYTES
        self._make_room(size)
        record.retained_bytes += size
        self.retained_bytes += size
        chunk = messages.ResponseChunk(
            **self._sender,
            attempt_id=record.key.attempt_id,
            index=len(record.chunks),
            data=data,
        )
        record.chunks.append(chunk)
        return chunk

    def finish(
        self,
        record: AttemptRecord,
        outcome: messages.AttemptOutcome,
        detail: str = '',
        usage: dict[str, Any] | None = None,
    ) -> messages.ResponseEnd:
        """End a running attempt; return the message to send.

        :param usage: fields of ``ResponseEnd`` that the engine reported.
        """
        count = len(record.chunks)
        end = self._end_message(record.key, count, outcome, detail)
        if usage is not None:
            end = msgspec.structs.replace(end, **usage)
        record.end = end
        record.state = RecordState.FINISHED
        if record.endpoint_id is not None:
            self._running[record.endpoint_id] -= 1
        if record.abandoned:
            self._drop_response(record)
        return end

    # Expiry and orphans

    def expire(self, now_s: float) -> None:
        """Drop attempts whose deadline passed ``MAX_START_AGE_S`` ago."""
        for key, record in list(self._records.items()):
            if record.state is RecordState.RUNNING:
                continue
            if now_s > record.deadline_s + MAX_START_AGE_S:
                self._drop_response(record)
                del self._records[key]

    def orphaned_by(
        self,
        entry_id: ids.ProcessId,
        except_incarnation: ids.Incarnation | None = None,
    ) -> list[AttemptRecord]:
        """Return the running attempts to cancel, since their entry is gone.

        Attempts that are not idempotent are left to run to their end, because
        an interrupted one may be half done and cannot be repeated.

        :param except_incarnation: incarnation of the entry whose attempts
            are left out.
        """
        return [
            record
            for record in self._records.values()
            if record.state is RecordState.RUNNING
            and record.idempotent
            and record.key.entry_id == entry_id
            and record.owner_incarnation != except_incarnation
        ]

    def _refusal_reason(
        self, message: messages.StartAttempt, now_s: float
    ) -> messages.RefusalReason | None:
        if message.agent_incarnation != self._incarnation:
            return Reason.WRONG_INCARNATION
        if message.remaining_ms <= 0 or self._is_too_old(message, now_s):
            return Reason.DEADLINE_PASSED
        if self.draining:
            return Reason.DRAINING
        limit = self._concurrency.get(message.endpoint_id)
        if limit is None:
            return Reason.UNKNOWN_ENDPOINT
        if message.endpoint_id in self._out_of_rotation:
            return Reason.OUT_OF_ROTATION
        if self._running[message.endpoint_id] >= limit or self._is_full():
            return Reason.OVERLOADED
        return None

    def _is_too_old(
        self, message: messages.StartAttempt, now_s: float
    ) -> bool:
        sequence = message.hello_sequence
        if sequence < self._first_accepted_hello:
            return True
        sent_s = self._hello_times.earliest_sent_s(sequence)
        return sent_s is None or now_s - sent_s > MAX_START_AGE_S

    def _is_full(self) -> bool:
        return (
            len(self._records) >= self._limits.remembered_count
            or self.retained_bytes >= self._limits.retained_bytes
        )

    def _remember(self, record: AttemptRecord) -> None:
        if len(self._records) < self._limits.remembered_count:
            self._records[record.key] = record
            return
        # There is no room for the id. Instead, all starts that may have been
        # sent before now are refused; a sender may start attempts again after
        # it has received a newer heartbeat.
        self._first_accepted_hello = self._hello_times.last_sequence + 1

    def _refuse_later_starts(
        self,
        message: messages.FetchAttempt | messages.CancelAttempt,
        reason: messages.RefusalReason,
        now_s: float,
    ) -> AttemptRecord:
        record = AttemptRecord(
            AttemptKey(message.sender_id, message.attempt_id),
            RecordState.REFUSED,
            owner_address=message.sender_address,
            owner_incarnation=message.sender_incarnation,
            deadline_s=now_s + max(message.remaining_ms, 0) / 1000,
            reason=reason,
        )
        self._remember(record)
        return record

    def _make_room(self, size: int) -> None:
        limit = self._limits.retained_bytes
        if self.retained_bytes + size <= limit:
            return
        finished = (
            record
            for record in self._records.values()
            if record.state is RecordState.FINISHED
        )
        for record in finished:
            self._drop_response(record)
            if self.retained_bytes + size <= limit:
                return
        raise ResponseTooLargeError('the response does not fit into memory')

    def _drop_response(self, record: AttemptRecord) -> None:
        self.retained_bytes -= record.retained_bytes
        if record.state is RecordState.FINISHED:
            record.drop_response()

    def _refusal_message(
        self, key: AttemptKey, reason: messages.RefusalReason
    ) -> messages.AttemptRefused:
        retry_ms = _OVERLOAD_RETRY_MS if reason is Reason.OVERLOADED else None
        return messages.AttemptRefused(
            **self._sender,
            attempt_id=key.attempt_id,
            reason=reason,
            retry_after_ms=retry_ms,
        )

    def _missing_message(
        self, message: messages.FetchAttempt
    ) -> messages.AttemptMissing:
        return messages.AttemptMissing(
            **self._sender,
            attempt_id=message.attempt_id,
            restarted=message.agent_incarnation != self._incarnation,
        )

    def _end_message(
        self,
        key: AttemptKey,
        chunk_count: int,
        outcome: messages.AttemptOutcome,
        detail: str,
    ) -> messages.ResponseEnd:
        return messages.ResponseEnd(
            **self._sender,
            attempt_id=key.attempt_id,
            chunk_count=chunk_count,
            outcome=outcome,
            detail=detail,
        )


def _retained_parts(
    record: AttemptRecord, next_index: int
) -> Iterator[messages.AnyMessage]:
    if record.head is not None:
        yield record.head
    yield from record.chunks[max(next_index, 0) :]
    if record.end is not None:
        yield record.end
