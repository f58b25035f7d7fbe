"""Decides which sample runs next."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.endpoint_pace import EndpointPace
from dogwoodpost.core.rollouts.length_estimator import LengthEstimator
from dogwoodpost.core.rollouts.sample import Sample
from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
from dogwoodpost.core.rollouts.step_state import StepState
from dogwoodpost.core.rollouts.trainer_shares import TrainerShares
from dogwoodpost.ports.sample_dispatcher import SampleRequest

# Callers' requests have priority 0 unless their route says otherwise.
SAMPLE_PRIORITY = -1


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
        self.shares = TrainerShares()
        self._lengths: dict[ids.TrainerId, LengthEstimator] = {}
        self._steps: dict[ids.TrainerId, list[StepState]] = {}

    def lengths(self, trainer_id: ids.TrainerId) -> LengthEstimator:
        """Return the length estimator of a trainer."""
        return self._lengths.setdefault(trainer_id, LengthEstimator())

    def add_step(self, step: StepState) -> None:
        """Let a step's samples run; steps run in order of deadline."""
        trainer_id = step.spec.trainer_id
        steps = self._steps.setdefault(trainer_id, [])
        self.shares.activate(trainer_id)
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
        for trainer_id in self._trainer_order():
            for step in self._steps[trainer_id]:
                if step.deadline_s <= now_s:
                    continue
                sample = step.take(now_s)
                if sample is not None:
                    return self._dispatch(step, sample, now_s)
        return None

    def next_ready_s(self) -> float | None:
        """Return when the first delayed sample is due."""
        due = [
            step.waiting.next_ready_s()
            for steps in self._steps.values()
            for step in steps
        ]
        return min((time for time in due if time is not None), default=None)

    def settle(
        self,
        dispatch: Dispatch,
        token_count: int,
        duration_s: float,
        endpoint_id: ids.EndpointId | None,
    ) -> None:
        """Take what a dispatch has generated; the endpoint may be unknown."""
        expected = self._charged_tokens(dispatch)
        trainer_id = dispatch.request.trainer_id
        self.shares.charge(trainer_id, token_count - expected)
        if endpoint_id is not None:
            self.pace.record(endpoint_id, token_count, duration_s)

    def _trainer_order(self) -> list[ids.TrainerId]:
        active = [key for key, steps in self._steps.items() if steps]
        if self.policy.fair_shares:
            return self.shares.order(active)
        return sorted(active, key=lambda key: self._steps[key][0].deadline_s)

    def _dispatch(
        self, step: StepState, sample: Sample, now_s: float
    ) -> Dispatch:
        spec = step.spec
        is_resumed = sample.token_count > 0
        policy = self.policy
        slice_s = policy.later_slice_s if is_resumed else policy.first_slice_s
        timeout_s = step.deadline_s - now_s
        if slice_s is not None:
            timeout_s = min(timeout_s, slice_s)
        avoid: tuple[ids.EndpointId, ...] = ()
        if policy.avoid_slow and is_resumed:
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
        charged = self._charged_tokens(dispatch)
        self.shares.charge(spec.trainer_id, charged)
        return dispatch

    def _charged_tokens(self, dispatch: Dispatch) -> float:
        # A flat estimate: the correction follows with the result.
        return min(dispatch.request.max_tokens, 256)


def _min_version(step: StepState) -> ids.WeightVersion:
    """Return the version that leaves half of the lag for the time to come."""
    lag = step.spec.max_version_lag // 2
    return ids.WeightVersion(max(0, step.current_version - lag))
