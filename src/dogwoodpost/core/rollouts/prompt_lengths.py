"""Lengths of earlier samples of a trainer's prompts."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

# Beyond this number the least recently recorded prompt is evicted.
MAX_PROMPT_COUNT = 100_000
# Smallest weight of a new sample in an average. Lengths drift while the
# model weights change, so the weight of old samples decays.
SMOOTHING_FACTOR = 0.1


class PromptLengths:
    """Moving averages of sample lengths, by prompt and over all prompts.

    Trainers submit the same prompts many times, so the lengths of a prompt's
    earlier samples predict which samples to start first.
    """

    def __init__(self) -> None:
        self._by_prompt: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._overall: tuple[int, float] = (0, 0.0)

    def record(self, prompt: str, token_count: int) -> None:
        """Record the length of a finished sample."""
        key = xxhash.xxh3_64_intdigest(prompt)
        previous = self._by_prompt.pop(key, (0, 0.0))
        self._by_prompt[key] = _update_average(previous, token_count)
        if len(self._by_prompt) > MAX_PROMPT_COUNT:
            self._by_prompt.popitem(last=False)
        self._overall = _update_average(self._overall, token_count)

    def mean_tokens(self, prompt: str) -> float | None:
        """Return the mean length of a prompt, or None if none is recorded."""
        average = self._by_prompt.get(xxhash.xxh3_64_intdigest(prompt))
        return average[1] if average is not None else None

    def overall_mean_tokens(self, default: float) -> float:
        """Return the mean length over all prompts, or the default if none."""
        count, mean = self._overall
        return mean if count else default


def _update_average(
    previous: tuple[int, float], value: float
) -> tuple[int, float]:
    count, mean = previous
    count += 1
    weight = max(1.0 / count, SMOOTHING_FACTOR)
    return count, mean + weight * (value - mean)
