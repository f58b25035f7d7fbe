"""The batches of one trainer, in the order of their cursor."""

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


# States in which a batch may still be delivered.
OPEN_STATES = (BatchState.READY, BatchState.ISSUED)


class SampleFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What decides whether a claimed sample is stale.

    ``begun_s`` is None for a sample of an earlier owner, because hosts do not
    share a clock; such a sample counts as over any age bound.
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
        """Return why the sample is over the bound, or None if it is not."""
        if self.begun_s is None and bound.max_age_s is not None:
            return 'age_unknown'
        begun_s = now_s if self.begun_s is None else self.begun_s
        return bound.reason_if_stale(
            self.oldest_version, current_version, now_s - begun_s
        )


def inherited_facts(
    record: BatchRecord, body: BatchBody
) -> tuple[SampleFacts, ...]:
    """Return the facts of a batch that another owner has claimed."""
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
    """A batch, its row version and the facts of its samples."""

    record: BatchRecord
    row_version: int
    facts: tuple[SampleFacts, ...]

    def stale_slots(
        self,
        bound: StalenessBound,
        current_version: ids.WeightVersion,
        now_s: float,
    ) -> dict[int, str]:
        """Return the slots whose samples are over the bound, and why."""
        stale = {}
        for fact in self.facts:
            reason = fact.reason_if_stale(bound, current_version, now_s)
            if reason is not None:
                stale[fact.slot] = reason
        return stale

    def valid_for_s(self, bound: StalenessBound, now_s: float) -> float | None:
        """Return how long the batch stays within its age bound."""
        begun = [fact.begun_s for fact in self.facts]
        known = [begun_s for begun_s in begun if begun_s is not None]
        if bound.max_age_s is None or not known:
            return None
        return min(known) + bound.max_age_s - now_s


class BatchVerdict(Enum):
    """What a fetch gets.

    A stale batch that may already have reached the trainer cannot be replaced
    without asking: the trainer says whether it has it.
    """

    DELIVER = 'deliver'
    REPLACE = 'replace'
    ASK_TRAINER = 'ask_trainer'


class BatchLog:
    """Batches that are not settled, by sequence number."""

    def __init__(self, settled_sequence: int = 0) -> None:
        self.last_sequence = settled_sequence
        self._entries: dict[int, BatchEntry] = {}

    def add(self, entry: BatchEntry) -> None:
        """Add a batch, or replace what is known of it."""
        sequence = entry.record.sequence
        self._entries[sequence] = entry
        self.last_sequence = max(self.last_sequence, sequence)

    def get(self, sequence: int) -> BatchEntry | None:
        """Return a batch that is not settled."""
        return self._entries.get(sequence)

    def entries(self) -> list[BatchEntry]:
        """Return all batches in order."""
        return [self._entries[key] for key in sorted(self._entries)]

    def next_after(self, cursor: int) -> BatchEntry | None:
        """Return the first batch after a cursor that may be delivered."""
        for entry in self.entries():
            is_open = entry.record.state in OPEN_STATES
            if entry.record.sequence > cursor and is_open:
                return entry
        return None

    def verdict(self, entry: BatchEntry, is_stale: bool) -> BatchVerdict:
        """Decide what a fetch of a batch gets."""
        if not is_stale:
            return BatchVerdict.DELIVER
        if entry.record.state is BatchState.READY:
            return BatchVerdict.REPLACE
        return BatchVerdict.ASK_TRAINER

    def settled_after(self, changed: BatchRecord) -> list[BatchRecord]:
        """Return the leading batches that a change lets be removed.

        A void batch stays until a later one is acknowledged.
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
        """Forget the batches up to a sequence number."""
        for key in [key for key in self._entries if key <= sequence]:
            del self._entries[key]
