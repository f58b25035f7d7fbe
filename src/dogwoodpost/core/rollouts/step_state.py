"""Samples of one step, from dispatch to claim."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.group_lengths import GroupLengths
from dogwoodpost.core.rollouts.sample import Sample
from dogwoodpost.core.rollouts.sample import SamplePhase
from dogwoodpost.core.rollouts.waiting_samples import WaitingSamples

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from dogwoodpost.core.rollouts.prompt_lengths import PromptLengths
    from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
    from dogwoodpost.core.rollouts.step_spec import StepSpec
    from dogwoodpost.ports.sample_dispatcher import SampleResult


class ResultOutcome(Enum):
    """Outcome of a dispatch.

    An UNCERTAIN result does not report the versions of all tokens. A LATE
    result belongs to a sample or dispatch that is no longer current.
    """

    FINISHED = 'finished'
    PARTIAL = 'partial'
    UNCERTAIN = 'uncertain_version'
    LATE = 'late'


class StepState:
    """Samples of a step at the entry that owns the step.

    A sample id contains the owner's fencing number and a number from
    ``sample_numbers``, which all steps of the owner share and which continues
    after a step is removed. No two samples therefore share an id and, with
    it, a score.
    """

    def __init__(
        self,
        spec: StepSpec,
        *,
        fencing_number: ids.FencingNumber,
        now_s: float,
        deadline_s: float,
        policy: SchedulingPolicy,
        prompt_lengths: PromptLengths,
        on_discard: Callable[[str], None],
        sample_numbers: Iterator[int],
    ) -> None:
        self.spec = spec
        self.fencing_number = fencing_number
        self.deadline_s = deadline_s
        self.staleness_bound = spec.staleness_bound
        self.submitted_s = now_s
        # Virtual finish time, set by the scheduler to order steps.
        self.finish_tag = 0.0
        self.lengths = GroupLengths(
            spec.prompts, spec.max_tokens, prompt_lengths
        )
        self.waiting = WaitingSamples(
            len(spec.prompts), self.lengths, long_first=policy.long_first
        )
        self.unclaimed_count = spec.slot_count
        # Set by the owner; the version lag of samples is relative to it.
        self.current_version = ids.WeightVersion(0)
        self._policy = policy
        self._on_discard = on_discard
        self._sample_numbers = sample_numbers
        self._scored_by_group = [0] * len(spec.prompts)
        self._ready_since_s: dict[int, float] = {}
        self.samples = [self._new_sample(n) for n in range(spec.slot_count)]
        for sample in self.samples:
            self.waiting.push(sample)

    @property
    def claimable_count(self) -> int:
        """Return the number of samples in complete, unclaimed groups."""
        return len(self._ready_since_s) * self.spec.samples_per_group

    def remaining_tokens(self) -> float:
        """Return the expected number of tokens still to generate."""
        return sum(
            self.lengths.remaining_tokens(sample)
            for sample in self.samples
            if sample.phase is not SamplePhase.CLAIMED
        )

    def prompt(self, sample: Sample) -> str:
        """Return the prompt of a sample's group."""
        return self.spec.prompts[sample.group]

    def is_current(self, sample: Sample) -> bool:
        """Return whether a sample has not been replaced."""
        return self.samples[sample.slot] is sample

    def peek(self, now_s: float) -> Sample | None:
        """Return the sample to dispatch next; replace stale ones."""
        while (sample := self.waiting.peek(now_s)) is not None:
            if self._is_waiting(sample):
                if not self._discard_if_stale(sample, now_s):
                    return sample
            self.waiting.pop(sample)
        return None

    def mark_running(self, sample: Sample, now_s: float) -> None:
        """Mark the sample that :meth:`peek` returned as running."""
        self.waiting.pop(sample)
        sample.phase = SamplePhase.RUNNING
        sample.dispatch_count += 1
        if sample.begun_s is None:
            sample.begun_s = now_s
            self.lengths.record_start(sample)

    def record_result(
        self, sample: Sample, result: SampleResult
    ) -> ResultOutcome:
        """Add the result of a dispatch to its sample."""
        if not self._is_expected_result(sample, result.sample_id):
            return ResultOutcome.LATE
        if not _has_reported_versions(result):
            self.discard(sample, ResultOutcome.UNCERTAIN.value)
            return ResultOutcome.UNCERTAIN
        sample.extend(result.completion, result.segments)
        sample.failure_count = 0
        is_full = sample.token_count >= self.spec.max_tokens
        finished = result.finished or is_full
        self.lengths.record_length(sample, finished=finished)
        if finished:
            sample.phase = SamplePhase.SCORING
            return ResultOutcome.FINISHED
        sample.phase = SamplePhase.WAITING
        self.waiting.push(sample)
        return ResultOutcome.PARTIAL

    def record_failure(
        self,
        sample: Sample,
        dispatch_id: ids.SampleId,
        now_s: float,
        rng: random.Random,
    ) -> None:
        """Schedule a sample to resume from its last result after a delay.

        The delay has full jitter, so that the samples of a crashed endpoint
        are not dispatched again all at once.
        """
        if not self._is_expected_result(sample, dispatch_id):
            return
        sample.failure_count += 1
        base_s = self._policy.retry_base_s * 2**sample.failure_count
        delay_s = rng.uniform(0.0, min(base_s, self._policy.retry_cap_s))
        sample.phase = SamplePhase.WAITING
        self.waiting.push_delayed(sample, now_s + delay_s)

    def record_score(self, sample: Sample, score: float, now_s: float) -> bool:
        """Set the score of a sample; return False if it already has one.

        Scores of replaced samples are ignored, too.
        """
        if not self.is_current(sample):
            return False
        if sample.phase is not SamplePhase.SCORING:
            return False
        sample.score = score
        self._mark_scored(sample, now_s)
        return True

    def discard(self, sample: Sample, reason: str) -> None:
        """Replace a sample with a new one in the same slot."""
        self._on_discard(reason)
        self._replace(sample)

    def discard_stale(self, now_s: float) -> bool:
        """Replace stale samples of complete groups; return if any were."""
        discarded = [
            self._discard_if_stale(sample, now_s)
            for group in list(self._ready_since_s)
            for sample in self._group(group)
        ]
        return any(discarded)

    def plan_batch(self, now_s: float) -> list[Sample]:
        """Return the samples of the whole groups to claim now, if any."""
        if not self._ready_since_s:
            return []
        oldest_s = min(self._ready_since_s.values())
        per_group = self.spec.samples_per_group
        count = self.claimable_count
        is_due = now_s - oldest_s >= self._policy.flush_after_s
        is_full = count >= self._policy.batch_sample_count
        if not (is_due or is_full or count == self.unclaimed_count):
            return []
        group_count = max(1, self._policy.batch_sample_count // per_group)
        groups = sorted(
            self._ready_since_s, key=lambda group: self._ready_since_s[group]
        )
        return [
            sample
            for group in groups[:group_count]
            for sample in self._group(group)
        ]

    def mark_claimed(self, slots: Iterable[int]) -> None:
        """Mark slots as claimed, whichever owner generated their samples."""
        for slot in slots:
            sample = self.samples[slot]
            if sample.phase is SamplePhase.CLAIMED:
                continue
            if sample.phase is SamplePhase.SCORED:
                self._scored_by_group[sample.group] -= 1
            self._ready_since_s.pop(sample.group, None)
            sample.phase = SamplePhase.CLAIMED
            # Frees memory; the batch's object holds the text.
            sample.completion = ''
            self.unclaimed_count -= 1

    def release(self, slot: int, sample: Sample | None, now_s: float) -> None:
        """Reopen a claimed slot; a None sample is generated again."""
        if self.samples[slot].phase is not SamplePhase.CLAIMED:
            return
        if sample is None:
            self._replace(self.samples[slot])
            return
        self.samples[slot] = sample
        self.unclaimed_count += 1
        self._mark_scored(sample, now_s)

    def _discard_if_stale(self, sample: Sample, now_s: float) -> bool:
        if not sample.segments or sample.begun_s is None:
            return False
        reason = self.staleness_bound.reason_if_stale(
            sample.oldest_version, self.current_version, now_s - sample.begun_s
        )
        if reason is not None:
            self.discard(sample, reason)
        return reason is not None

    def _replace(self, sample: Sample) -> None:
        if sample.phase is SamplePhase.CLAIMED:
            self.unclaimed_count += 1
        if sample.phase is SamplePhase.SCORED:
            self._scored_by_group[sample.group] -= 1
            self._ready_since_s.pop(sample.group, None)
        replacement = self._new_sample(sample.slot)
        self.samples[sample.slot] = replacement
        self.waiting.push(replacement)

    def _group(self, group: int) -> list[Sample]:
        start = group * self.spec.samples_per_group
        return self.samples[start : start + self.spec.samples_per_group]

    def _mark_scored(self, sample: Sample, now_s: float) -> None:
        sample.phase = SamplePhase.SCORED
        self._scored_by_group[sample.group] += 1
        if self._scored_by_group[sample.group] == self.spec.samples_per_group:
            self._ready_since_s[sample.group] = now_s

    def _new_sample(self, slot: int) -> Sample:
        group, index = divmod(slot, self.spec.samples_per_group)
        name = (
            f'{self.spec.trainer_id}/{self.spec.step_id}/{group}/{index}/'
            f'{self.fencing_number}.{next(self._sample_numbers)}'
        )
        return Sample(
            sample_id=ids.SampleId(name),
            slot=slot,
            group=group,
        )

    def _is_waiting(self, sample: Sample) -> bool:
        return self.is_current(sample) and sample.phase is SamplePhase.WAITING

    def _is_expected_result(
        self, sample: Sample, dispatch_id: ids.SampleId
    ) -> bool:
        return (
            self.is_current(sample)
            and sample.phase is SamplePhase.RUNNING
            and sample.dispatch_id == dispatch_id
        )


def _has_reported_versions(result: SampleResult) -> bool:
    """Return whether each generated token has a reported weight version.

    A dispatch that was cut off before its first token reports no version.
    """
    if not result.segments:
        return not result.completion and not result.finished
    return all(segment.token_count > 0 for segment in result.segments)
