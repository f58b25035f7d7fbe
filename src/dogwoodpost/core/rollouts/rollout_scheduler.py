"""Decides which sample runs next."""

from __future__ import annotations

import itertools

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.endpoint_pace import EndpointPace
from dogwoodpost.core.rollouts.prompt_lengths import PromptLengths
from dogwoodpost.core.rollouts.sample import Sample
from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
from dogwoodpost.core.rollouts.step_state import StepState
from dogwoodpost.ports.sample_dispatcher import SampleRequest

# Callers' requests have priority 0 unless their route says otherwise.
SAMPLE_PRIORITY = -1
# Until an endpoint's pace is known.
DEFAULT_TOKENS_PER_S = 50.0
# From this share of the token limit on, a sample counts as long. Step times
# hardly differ between 0.06 and 0.2 (docs/rollouts.md).
LONG_SHARE = 0.2
# A dispatch that is silent for longer than this wait and this share of the
# typical pace explain is given up; its sample continues from the last slice.
QUEUE_S = 30.0
SLOWEST_RATIO = 0.2


class Dispatch(msgspec.Struct, frozen=True):
    """A sample to run now."""

    step: StepState
    sample: Sample
    request: SampleRequest


class RolloutScheduler:
    """Chooses among the steps of all trainers."""

    def __init__(self, policy: SchedulingPolicy | None = None) -> None:
        self.policy = policy or SchedulingPolicy()
        self.pace = EndpointPace()
        # How many samples may run at once; set by the caller.
        self.slot_count = 1
        self.sample_numbers = itertools.count()
        self._virtual_tokens = 0.0
        self._advanced_s = 0.0
        self._history: dict[ids.TrainerId, PromptLengths] = {}
        self._steps: dict[ids.TrainerId, list[StepState]] = {}

    def history(self, trainer_id: ids.TrainerId) -> PromptLengths:
        """Return the lengths seen so far for a trainer's prompts."""
        return self._history.setdefault(trainer_id, PromptLengths())

    def add_step(self, step: StepState) -> None:
        """Let a step's samples run, after the trainer's earlier steps."""
        trainer_id = step.spec.trainer_id
        steps = self._steps.setdefault(trainer_id, [])
        self._advance(step.submitted_s)
        tags = [self._virtual_tokens, *(item.finish_tag for item in steps)]
        step.finish_tag = max(tags) + step.remaining_tokens()
        steps.append(step)

    def remove_step(self, step: StepState, now_s: float) -> None:
        """Stop running a step's samples."""
        steps = self._steps.get(step.spec.trainer_id, [])
        self._advance(now_s)
        if step in steps:
            steps.remove(step)

    def claimable_count(self) -> int:
        """Return how many samples of complete groups wait for a claim."""
        return sum(
            step.claimable_count
            for steps in self._steps.values()
            for step in steps
        )

    def next_dispatch(self, now_s: float) -> Dispatch | None:
        """Return the next sample to run, or None if there is none."""
        # Samples of incomplete groups do not count: they cannot be claimed
        # before the rest of their group has run.
        if self.claimable_count() >= self.policy.max_claimable_count:
            return None
        best: tuple[tuple[int, float], StepState, Sample] | None = None
        for steps in self._steps.values():
            for step in steps:
                if step.deadline_s <= now_s:
                    continue
                sample = step.peek(now_s)
                if sample is None:
                    continue
                urgency = self._urgency(step, sample)
                if best is None or urgency < best[0]:
                    best = (urgency, step, sample)
        if best is None:
            return None
        _, step, sample = best
        step.take(sample, now_s)
        return self._dispatch(step, sample, now_s)

    def _urgency(self, step: StepState, sample: Sample) -> tuple[int, float]:
        """Return the rank of a step's first sample; the lowest goes first.

        A sample that is known to be long never waits. The other samples go
        in the order in which their steps would end if the capacity were
        divided evenly among the trainers: then no step ends later than with
        an even division, and most end earlier.
        """
        if not self.policy.long_first:
            return 0, step.submitted_s
        if sample.token_count >= LONG_SHARE * step.spec.max_tokens:
            return 0, step.finish_tag
        return 1, step.finish_tag

    def _rate(self) -> float:
        return self.pace.typical_rate(DEFAULT_TOKENS_PER_S)

    def _advance(self, now_s: float) -> None:
        """Move virtual time on, which each open step's share keeps up with.

        Its unit is tokens: if the capacity were divided evenly among the
        trainers, each would have got this many since the start.
        """
        active_count = sum(1 for steps in self._steps.values() if steps)
        if active_count:
            capacity = self.slot_count * self._rate()
            elapsed_s = now_s - self._advanced_s
            self._virtual_tokens += elapsed_s * capacity / active_count
        self._advanced_s = now_s

    def _dispatch(
        self, step: StepState, sample: Sample, now_s: float
    ) -> Dispatch:
        spec = step.spec
        is_resumed = sample.token_count > 0
        max_tokens = spec.max_tokens - sample.token_count
        timeout_s = step.deadline_s - now_s
        first_tokens = self.policy.first_slice_tokens
        if first_tokens is not None:
            slice_tokens = max(first_tokens, sample.token_count)
            slice_tokens = min(slice_tokens, self.policy.max_slice_tokens)
            max_tokens = min(max_tokens, slice_tokens)
            slowest = SLOWEST_RATIO * self._rate()
            timeout_s = min(timeout_s, QUEUE_S + max_tokens / slowest)
        avoid: tuple[ids.EndpointId, ...] = ()
        if self.policy.avoid_slow and is_resumed:
            avoid = self.pace.slow_endpoints()
        request = SampleRequest(
            sample_id=sample.dispatch_id,
            trainer_id=spec.trainer_id,
            client_account_id=spec.client_account_id,
            service=spec.service,
            prompt=step.prompt(sample),
            max_tokens=max_tokens,
            timeout_s=timeout_s,
            priority=SAMPLE_PRIORITY,
            min_weight_version=_min_version(step),
            resume_text=sample.completion,
            avoid=avoid,
        )
        return Dispatch(step, sample, request)


def _min_version(step: StepState) -> ids.WeightVersion:
    """Return the version that leaves half of the lag for the time to come."""
    lag = step.spec.max_version_lag // 2
    return ids.WeightVersion(max(0, step.current_version - lag))
