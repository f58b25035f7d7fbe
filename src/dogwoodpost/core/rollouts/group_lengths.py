"""Expected lengths of the samples of a step."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.rollouts.prompt_lengths import PromptLengths
    from dogwoodpost.core.rollouts.sample import Sample

# Weights, in samples, of what was known before the group's own samples.
SEEN_WEIGHT = 8.0
UNSEEN_WEIGHT = 1.0


class GroupLengths:
    """Learns from the samples of a group how long its other samples are.

    A sample that was cut off is expected to run as long again as it has run,
    which holds for long-tailed lengths.
    """

    def __init__(
        self, prompts: Sequence[str], max_tokens: int, history: PromptLengths
    ) -> None:
        self._prompts = prompts
        self._max_tokens = max_tokens
        self._history = history
        self._started_count = [0] * len(prompts)
        self._observed: list[dict[int, float]] = [{} for _ in prompts]
        self._expected = [self._prior(prompt)[1] for prompt in prompts]

    def start(self, sample: Sample) -> None:
        """Count a sample whose first dispatch begins."""
        self._started_count[sample.group] += 1

    def observe(self, sample: Sample, *, finished: bool) -> None:
        """Take the length of a sample so far."""
        tokens = float(sample.token_count)
        prompt = self._prompts[sample.group]
        if finished:
            self._history.record(prompt, sample.token_count)
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
        """Return the rank of a group's new samples; the highest goes first.

        Among equals the group goes first of which fewest samples are known.
        """
        return self._expected[group], -self._started_count[group]

    def remaining_tokens(self, sample: Sample) -> float:
        """Return how many tokens a sample is expected to need yet."""
        total = max(self._expected[sample.group], 2.0 * sample.token_count)
        return min(total, self._max_tokens) - sample.token_count

    def _prior(self, prompt: str) -> tuple[float, float]:
        """Return the weight and the mean of what was known before."""
        mean = self._history.mean_tokens(prompt)
        if mean is not None:
            return SEEN_WEIGHT, mean
        default = self._max_tokens / 8.0
        return UNSEEN_WEIGHT, self._history.overall_tokens(default)
