"""Batches of one trainer, ordered by sequence number."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.records import BatchRecord
from dogwoodpost.core.rollouts.records import BatchState

if TYPE_CHECKING:
    from dogwoodpost.core.rollouts.records import BatchBody
    from dogwoodpost.core.rollouts.staleness_bound import StalenessBound


DELIVERABLE_STATES = (BatchState.READY, BatchState.ISSUED)


class SampleFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Version and start time by which a claimed sample's staleness is judged.

    ``begun_s`` is None for a sample that an earlier owner generated, because
    hosts do not share a clock. Such a sample exceeds every age bound.
    """

    slot: int
    oldest_version: ids.WeightVersion
    begun_s: float | None = None

    def reason_if_stale(
        self,
        bound: StalenessBound,
        current_version: ids.WeightVersion,
        now_s: float,
    ) -> str | None:
        """Return why the sample exceeds the bound, or None if it does not."""
        if self.begun_s is None and bound.max_age_s is not None:
            return 'age_unknown'
        begun_s = now_s if self.begun_s is None else self.begun_s
        return bound.reason_if_stale(
            self.oldest_version, current_version, now_s - begun_s
        )


def inherited_facts(
    record: BatchRecord, body: BatchBody
) -> tuple[SampleFacts, ...]:
    """Return the facts of a batch that another owner claimed."""
    return tuple(
        SampleFacts(
            slot=slot,
            oldest_version=min(
                segment.weight_version for segment in sample.segments
            ),
        )
        for slot, sample in zip(record.slots, body.samples, strict=True)
    )


class BatchEntry(msgspec.Struct, kw_only=True):
    """Row of a batch, the version of the row and the facts of the samples."""

    record: BatchRecord
    row_version: int
    facts: tuple[SampleFacts, ...]

    def stale_slots(
        self,
        bound: StalenessBound,
        current_version: ids.WeightVersion,
        now_s: float,
    ) -> dict[int, str]:
        """Return the reason for each slot whose sample exceeds the bound."""
        stale = {}
        for fact in self.facts:
            reason = fact.reason_if_stale(bound, current_version, now_s)
            if reason is not None:
                stale[fact.slot] = reason
        return stale

    def valid_for_s(self, bound: StalenessBound, now_s: float) -> float | None:
        """Return for how many seconds the batch stays within its age bound.

        The result is None without an age bound or if no start time is known.
        """
        begun = [fact.begun_s for fact in self.facts]
        known_begun = [begun_s for begun_s in begun if begun_s is not None]
        if bound.max_age_s is None or not known_begun:
            return None
        return min(known_begun) + bound.max_age_s - now_s


class FetchDecision(Enum):
    """How a fetch of a batch is answered.

    A stale batch that may have reached the trainer is replaced only after the
    trainer has said that it did not receive the batch.
    """

    DELIVER = 'deliver'
    REPLACE = 'replace'
    ASK_TRAINER = 'ask_trainer'


class BatchLog:
    """Unsettled batches, by sequence number."""

    def __init__(self, settled_sequence: int = 0) -> None:
        self.last_sequence = settled_sequence
        self._entries: dict[int, BatchEntry] = {}

    def add(self, entry: BatchEntry) -> None:
        """Add a batch, or replace the entry with its sequence number."""
        sequence = entry.record.sequence
        self._entries[sequence] = entry
        self.last_sequence = max(self.last_sequence, sequence)

    def get(self, sequence: int) -> BatchEntry | None:
        """Return an unsettled batch, or None if there is none."""
        return self._entries.get(sequence)

    def entries(self) -> list[BatchEntry]:
        """Return all batches, ordered by sequence number."""
        return [self._entries[key] for key in sorted(self._entries)]

    def next_after(self, cursor: int) -> BatchEntry | None:
        """Return the first deliverable batch after a cursor."""
        for entry in self.entries():
            is_deliverable = entry.record.state in DELIVERABLE_STATES
            if entry.record.sequence > cursor and is_deliverable:
                return entry
        return None

    def decide_fetch(self, entry: BatchEntry, is_stale: bool) -> FetchDecision:
        """Decide how a fetch of a batch is answered."""
        if not is_stale:
            return FetchDecision.DELIVER
        if entry.record.state is BatchState.READY:
            return FetchDecision.REPLACE
        return FetchDecision.ASK_TRAINER

    def removable_after(self, changed: BatchRecord) -> list[BatchRecord]:
        """Return the leading batches that can be removed after a change.

        A void batch stays until a later batch is acknowledged.
        """
        settled = []
        for entry in self.entries():
            record = entry.record
            if record.sequence == changed.sequence:
                record = changed
            if record.state not in (BatchState.ACKNOWLEDGED, BatchState.VOID):
                break
            settled.append(record)
        while settled and settled[-1].state is BatchState.VOID:
            settled.pop()
        return settled

    def remove_settled(self, sequence: int) -> None:
        """Remove the batches up to and including a sequence number."""
        for key in [key for key in self._entries if key <= sequence]:
            del self._entries[key]
