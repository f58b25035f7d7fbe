"""Expected lengths, in tokens, of the samples of a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.rollouts.prompt_lengths import PromptLengths
    from dogwoodpost.core.rollouts.sample import Sample

# Weights of the prior mean, as a number of samples of the group.
KNOWN_PROMPT_WEIGHT_SAMPLES = 8.0
NEW_PROMPT_WEIGHT_SAMPLES = 1.0


class GroupLengths:
    """Estimates the lengths of a group's samples from its other samples.

    A partial sample is expected to reach twice its current length, which
    holds for long-tailed lengths.
    """

    def __init__(
        self,
        prompts: Sequence[str],
        max_tokens: int,
        prompt_lengths: PromptLengths,
    ) -> None:
        self._prompts = prompts
        self._max_tokens = max_tokens
        self._prompt_lengths = prompt_lengths
        self._started_count = [0] * len(prompts)
        self._observed: list[dict[int, float]] = [{} for _ in prompts]
        self._expected = [self._prior(prompt)[1] for prompt in prompts]

    def record_start(self, sample: Sample) -> None:
        """Count a sample that is dispatched for the first time."""
        self._started_count[sample.group] += 1

    def record_length(self, sample: Sample, *, finished: bool) -> None:
        """Update the estimate with the current length of a sample."""
        tokens = float(sample.token_count)
        prompt = self._prompts[sample.group]
        if finished:
            self._prompt_lengths.record(prompt, sample.token_count)
        else:
            tokens = min(2.0 * tokens, self._max_tokens)
        observed = self._observed[sample.group]
        observed[sample.slot] = tokens
        weight, mean = self._prior(prompt)
        total = weight * mean + sum(observed.values())
        self._expected[sample.group] = total / (weight + len(observed))

    def expected_tokens(self, group: int) -> float:
        """Return the expected length of a new sample of a group."""
        return self._expected[group]

    def rank(self, group: int) -> tuple[float, int]:
        """Return the rank of a group's new samples; the highest runs first.

        Among groups of equal expected length, the group with the fewest
        started samples runs first.
        """
        return self._expected[group], -self._started_count[group]

    def remaining_tokens(self, sample: Sample) -> float:
        """Return how many more tokens a sample is expected to need."""
        total = max(self._expected[sample.group], 2.0 * sample.token_count)
        return min(total, self._max_tokens) - sample.token_count

    def _prior(self, prompt: str) -> tuple[float, float]:
        """Return the weight and the mean of a prompt's prior."""
        mean = self._prompt_lengths.mean_tokens(prompt)
        if mean is not None:
            return KNOWN_PROMPT_WEIGHT_SAMPLES, mean
        default = self._max_tokens / 8.0
        return (
            NEW_PROMPT_WEIGHT_SAMPLES,
            self._prompt_lengths.overall_mean_tokens(default),
        )
