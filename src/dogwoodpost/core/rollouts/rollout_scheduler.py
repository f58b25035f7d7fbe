"""Selects the sample to dispatch next."""

from __future__ import annotations

import itertools

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.endpoint_token_rates import EndpointTokenRates
from dogwoodpost.core.rollouts.prompt_lengths import PromptLengths
from dogwoodpost.core.rollouts.sample import Sample
from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
from dogwoodpost.core.rollouts.step_state import StepState
from dogwoodpost.ports.sample_dispatcher import SampleRequest

# Callers' requests have priority 0 unless their route says otherwise.
SAMPLE_PRIORITY = -1
# Assumed until the rate of an endpoint has been measured.
DEFAULT_TOKENS_PER_S = 50.0
# A sample counts as long from this share of the token limit. Step times
# hardly differ between 0.06 and 0.2 (docs/rollouts.md).
LONG_SAMPLE_SHARE = 0.2
# A dispatch times out after this wait plus the time that its tokens take at
# this share of the median rate; its sample resumes after the last slice.
QUEUE_ALLOWANCE_S = 30.0
MIN_RATE_RATIO = 0.2


class Dispatch(msgspec.Struct, frozen=True):
    """A sample to run now, with its request."""

    step: StepState
    sample: Sample
    request: SampleRequest


class RolloutScheduler:
    """Schedules the samples of all trainers' steps."""

    def __init__(self, policy: SchedulingPolicy | None = None) -> None:
        self.policy = policy or SchedulingPolicy()
        self.token_rates = EndpointTokenRates()
        # Set by the caller.
        self.max_running_count = 1
        self.sample_numbers = itertools.count()
        self._virtual_tokens = 0.0
        self._virtual_time_updated_s = 0.0
        self._lengths_by_trainer: dict[ids.TrainerId, PromptLengths] = {}
        self._steps: dict[ids.TrainerId, list[StepState]] = {}

    def prompt_lengths(self, trainer_id: ids.TrainerId) -> PromptLengths:
        """Return the recorded lengths of a trainer's prompts."""
        return self._lengths_by_trainer.setdefault(trainer_id, PromptLengths())

    def add_step(self, step: StepState) -> None:
        """Schedule a step's samples after the trainer's earlier steps."""
        trainer_id = step.spec.trainer_id
        steps = self._steps.setdefault(trainer_id, [])
        self._advance_virtual_time(step.submitted_s)
        tags = [self._virtual_tokens, *(item.finish_tag for item in steps)]
        step.finish_tag = max(tags) + step.remaining_tokens()
        steps.append(step)

    def remove_step(self, step: StepState, now_s: float) -> None:
        """Stop scheduling a step's samples."""
        steps = self._steps.get(step.spec.trainer_id, [])
        self._advance_virtual_time(now_s)
        if step in steps:
            steps.remove(step)

    def claimable_count(self) -> int:
        """Return the number of unclaimed samples in complete groups."""
        return sum(
            step.claimable_count
            for steps in self._steps.values()
            for step in steps
        )

    def next_dispatch(self, now_s: float) -> Dispatch | None:
        """Return the next sample to run, or None if none may run now."""
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
                sort_key = self._sort_key(step, sample)
                if best is None or sort_key < best[0]:
                    best = (sort_key, step, sample)
        if best is None:
            return None
        _, step, sample = best
        step.mark_running(sample, now_s)
        return self._dispatch(step, sample, now_s)

    def _sort_key(self, step: StepState, sample: Sample) -> tuple[int, float]:
        """Return the key of a step's first sample; the lowest runs first.

        Samples that are known to be long run before all others. The others
        run in the order in which their steps would end if the capacity were
        divided evenly among the trainers. No step ends later than with an
        even division, and most end earlier.
        """
        if not self.policy.long_first:
            return 0, step.submitted_s
        if sample.token_count >= LONG_SAMPLE_SHARE * step.spec.max_tokens:
            return 0, step.finish_tag
        return 1, step.finish_tag

    def _median_rate(self) -> float:
        return self.token_rates.median_rate(DEFAULT_TOKENS_PER_S)

    def _advance_virtual_time(self, now_s: float) -> None:
        """Advance the virtual time of fair queueing.

        Its unit is tokens: the number that each trainer would have got since
        the start if the capacity were divided evenly among the trainers.
        """
        active_count = sum(1 for steps in self._steps.values() if steps)
        if active_count:
            capacity = self.max_running_count * self._median_rate()
            elapsed_s = now_s - self._virtual_time_updated_s
            self._virtual_tokens += elapsed_s * capacity / active_count
        self._virtual_time_updated_s = now_s

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
            min_tokens_per_s = MIN_RATE_RATIO * self._median_rate()
            timeout_s = min(
                timeout_s, QUEUE_ALLOWANCE_S + max_tokens / min_tokens_per_s
            )
        avoid: tuple[ids.EndpointId, ...] = ()
        if self.policy.avoid_slow and is_resumed:
            avoid = self.token_rates.slow_endpoints()
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
    """Return the minimum version; half of the allowed lag stays in reserve."""
    lag = step.spec.max_version_lag // 2
    return ids.WeightVersion(max(0, step.current_version - lag))
