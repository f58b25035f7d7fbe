"""Workload and fault cases of the rollout measurement."""

from __future__ import annotations

import math
import random

import msgspec
import xxhash


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Engines and trainers, the same in all cases.

    Two trainers have large steps of 1,024 samples, and four trainers have
    small steps. Each trainer repeats its prompts every ``epoch_step_count``
    steps.

    Sample lengths are log-normal, with one factor per prompt and one per
    sample, and are capped at ``max_tokens``.
    """

    sampler_count: int = 10
    sampler_concurrency: int = 16
    tokens_per_s: float = 50.0
    prefill_tokens_per_s: float = 5_000.0
    prompt_tokens: int = 500
    group_counts: tuple[int, ...] = (128, 128, 16, 16, 16, 16)
    step_count: int = 6
    samples_per_group: int = 8
    max_tokens: int = 4_096
    median_tokens: float = 350.0
    prompt_sigma: float = 0.8
    sample_sigma: float = 0.75
    epoch_step_count: int = 3
    training_s: float = 90.0
    weight_interval_s: float = 240.0
    max_version_lag: int = 2
    max_age_s: float = 900.0
    deadline_s: float = 3_600.0

    @property
    def trainer_count(self) -> int:
        """Return the number of trainers."""
        return len(self.group_counts)

    @property
    def capacity_tokens_per_s(self) -> float:
        """Return the rate of all samplers together."""
        slots = self.sampler_count * self.sampler_concurrency
        return slots * self.tokens_per_s

    def length_tokens(self, seed: int, prompt: str, sample_id: str) -> int:
        """Return the length of a sample, drawn from the seed and its ids."""
        factor = math.exp(
            self.prompt_sigma * _normal(f'{seed}|{prompt}')
            + self.sample_sigma * _normal(f'{seed}|{sample_id}')
        )
        length = int(self.median_tokens * factor)
        return min(max(length, 1), self.max_tokens)


def _normal(name: str) -> float:
    return random.Random(xxhash.xxh3_64_intdigest(name)).gauss(0.0, 1.0)


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """A fault case; ``max_p99_ratio`` is its target, where there is one."""

    name: str
    crashed_count: int = 0
    slow_share: float = 0.0
    slow_factor: float = 0.33
    swap_failure_share: float = 0.0
    uncertain_share: float = 0.2
    outage_s: float = 0.0
    fault_at_s: float = 400.0
    max_p99_ratio: float | None = None


CASES = (
    Case(name='no fault', max_p99_ratio=1.25),
    Case(name='one sampler crashed', crashed_count=1, max_p99_ratio=1.5),
    Case(name='a tenth slow', slow_share=0.1, max_p99_ratio=1.5),
    Case(name='failed swaps', swap_failure_share=0.3),
    Case(name='store outage 60 s', outage_s=60.0),
    Case(name='store outage 10 min', outage_s=600.0),
)
