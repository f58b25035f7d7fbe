"""Expected lengths of samples."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

# Above this number of prompts the least recently seen one is forgotten.
MAX_PROMPT_COUNT = 100_000


class LengthEstimator:
    """Means by prompt and by trainer, and a rule for samples in progress."""

    def __init__(self) -> None:
        self._by_prompt: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._count = 0
        self._mean = 0.0

    def record(self, prompt: str, token_count: int) -> None:
        """Take the length of a finished sample."""
        key = xxhash.xxh3_64_intdigest(prompt)
        count, mean = self._by_prompt.pop(key, (0, 0.0))
        count += 1
        mean += (token_count - mean) / count
        self._by_prompt[key] = (count, mean)
        if len(self._by_prompt) > MAX_PROMPT_COUNT:
            self._by_prompt.popitem(last=False)
        self._count += 1
        self._mean += (token_count - self._mean) / self._count

    def expected_tokens(self, prompt: str, max_tokens: int) -> float:
        """Return the expected length of a new sample."""
        key = xxhash.xxh3_64_intdigest(prompt)
        if key in self._by_prompt:
            return min(self._by_prompt[key][1], max_tokens)
        return min(self._mean, max_tokens) if self._count else max_tokens / 8

    def expected_remaining(
        self, prompt: str, token_count: int, max_tokens: int
    ) -> float:
        """Return how many tokens a sample in progress still needs.

        With long-tailed lengths a sample is expected to run about as long
        again as it has run.
        """
        expected = self.expected_tokens(prompt, max_tokens)
        total = max(expected, 2.0 * token_count)
        return min(total, max_tokens) - token_count
