"""Lengths of the samples that a trainer's prompts led to."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

# Above this number of prompts the least recently seen one is forgotten.
MAX_PROMPT_COUNT = 100_000
# Lengths drift while the weights change, so old samples lose weight.
SMOOTHING = 0.1


class PromptLengths:
    """Moving averages by prompt and over all prompts.

    Trainers go through their prompts many times, so a prompt's earlier
    lengths tell which samples to start first.
    """

    def __init__(self) -> None:
        self._by_prompt: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._overall: tuple[int, float] = (0, 0.0)

    def record(self, prompt: str, token_count: int) -> None:
        """Take the length of a finished sample."""
        key = xxhash.xxh3_64_intdigest(prompt)
        old = self._by_prompt.pop(key, (0, 0.0))
        self._by_prompt[key] = _moved(old, token_count)
        if len(self._by_prompt) > MAX_PROMPT_COUNT:
            self._by_prompt.popitem(last=False)
        self._overall = _moved(self._overall, token_count)

    def mean_tokens(self, prompt: str) -> float | None:
        """Return a prompt's mean, or None if it has not been seen."""
        found = self._by_prompt.get(xxhash.xxh3_64_intdigest(prompt))
        return found[1] if found is not None else None

    def overall_tokens(self, default: float) -> float:
        """Return the mean over all prompts."""
        count, mean = self._overall
        return mean if count else default


def _moved(old: tuple[int, float], value: float) -> tuple[int, float]:
    count, mean = old
    count += 1
    weight = max(1.0 / count, SMOOTHING)
    return count, mean + weight * (value - mean)
