"""Decides which sample runs next."""

from __future__ import annotations

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
# From this share of the token limit on, a sample counts as long. With 0.1 and
# 0.4 steps ended later in at least one of three measured mixes of trainers.
LONG_SHARE = 0.2


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
        self._history: dict[ids.TrainerId, PromptLengths] = {}
        self._steps: dict[ids.TrainerId, list[StepState]] = {}

    def history(self, trainer_id: ids.TrainerId) -> PromptLengths:
        """Return the lengths seen so far for a trainer's prompts."""
        return self._history.setdefault(trainer_id, PromptLengths())

    def add_step(self, step: StepState) -> None:
        """Let a step's samples run; steps run in order of deadline."""
        trainer_id = step.spec.trainer_id
        steps = self._steps.setdefault(trainer_id, [])
        self._set_target(step, steps)
        steps.append(step)
        steps.sort(key=lambda step: step.deadline_s)

    def remove_step(self, step: StepState) -> None:
        """Stop running a step's samples."""
        steps = self._steps.get(step.spec.trainer_id, [])
        if step in steps:
            steps.remove(step)

    def pending_count(self) -> int:
        """Return how many samples wait in memory for score or claim."""
        return sum(
            step.pending_count
            for steps in self._steps.values()
            for step in steps
        )

    def next_dispatch(self, now_s: float) -> Dispatch | None:
        """Return the next sample to run, or None if there is none."""
        if self.pending_count() >= self.policy.max_pending_count:
            return None
        best: tuple[tuple[bool, float], StepState, Sample] | None = None
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

    def settle(
        self,
        dispatch: Dispatch,
        token_count: int,
        duration_s: float,
        endpoint_id: ids.EndpointId | None,
    ) -> None:
        """Take what a dispatch has generated; the endpoint may be unknown."""
        if endpoint_id is not None:
            self.pace.record(endpoint_id, token_count, duration_s)

    def _urgency(self, step: StepState, sample: Sample) -> tuple[bool, float]:
        """Return the rank of a step's first sample; the lowest goes first.

        A sample that is known to be long never waits. Otherwise the step goes
        first that has least time to spare until its target.
        """
        if not self.policy.long_first:
            return False, step.submitted_s
        is_long = sample.token_count >= LONG_SHARE * step.spec.max_tokens
        rate = self._rate()
        left_s = (step.spec.max_tokens - sample.token_count) / rate
        work_s = step.remaining_tokens() / step.share_tokens_per_s
        return not is_long, step.target_s - max(left_s, work_s)

    def _rate(self) -> float:
        return self.pace.typical_rate(DEFAULT_TOKENS_PER_S)

    def _set_target(self, step: StepState, earlier: list[StepState]) -> None:
        """Aim at the time at which the trainer's share would be enough."""
        active_count = sum(1 for steps in self._steps.values() if steps) + (
            not earlier
        )
        step.share_tokens_per_s = self.slot_count * self._rate() / active_count
        work_s = step.remaining_tokens() / step.share_tokens_per_s
        longest_s = step.spec.max_tokens / self._rate()
        begin_s = max([step.submitted_s, *(item.target_s for item in earlier)])
        step.target_s = begin_s + max(work_s, longest_s)

    def _dispatch(
        self, step: StepState, sample: Sample, now_s: float
    ) -> Dispatch:
        spec = step.spec
        is_resumed = sample.token_count > 0
        timeout_s = step.deadline_s - now_s
        first_s = self.policy.first_slice_s
        if first_s is not None:
            slice_s = min(max(first_s, sample.run_s), self.policy.max_slice_s)
            timeout_s = min(timeout_s, slice_s)
        avoid: tuple[ids.EndpointId, ...] = ()
        if self.policy.avoid_slow and is_resumed:
            avoid = self.pace.slow_endpoints()
        request = SampleRequest(
            sample_id=sample.dispatch_id,
            trainer_id=spec.trainer_id,
            client_account_id=spec.client_account_id,
            service=spec.service,
            prompt=step.prompt(sample),
            max_tokens=spec.max_tokens - sample.token_count,
            timeout_s=timeout_s,
            priority=SAMPLE_PRIORITY,
            min_weight_version=_min_version(step),
            resume_text=sample.completion,
            avoid=avoid,
        )
        dispatch = Dispatch(step, sample, request)
        return dispatch


def _min_version(step: StepState) -> ids.WeightVersion:
    """Return the version that leaves half of the lag for the time to come."""
    lag = step.spec.max_version_lag // 2
    return ids.WeightVersion(max(0, step.current_version - lag))
