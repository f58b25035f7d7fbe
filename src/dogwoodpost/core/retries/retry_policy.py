"""Decides whether and when an attempt is retried."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.retries.retry_budget import RetryBudget


class RetryPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of retries with exponential backoff and full jitter.

    :param max_attempt_count: attempts of one request, the first included.
    :param base_delay_s: upper bound of the first delay; it doubles with
        each further attempt.
    :param max_delay_s: largest upper bound of a delay.
    """

    max_attempt_count: int = 3
    base_delay_s: float = 0.05
    max_delay_s: float = 2.0

    def delay_s(
        self,
        attempt_count: int,
        remaining_s: float,
        budget: RetryBudget | None,
        rng: random.Random,
        now_s: float,
    ) -> float | None:
        """Return the delay before the next attempt, or None to give up.

        :param attempt_count: attempts made so far.
        :param remaining_s: time until the request's deadline.
        :param budget: budget to charge the retry to; None where the next
            attempt repeats no work.
        """
        if attempt_count >= self.max_attempt_count:
            return None
        bound_s = min(
            self.base_delay_s * 2.0 ** (attempt_count - 1), self.max_delay_s
        )
        delay_s = rng.uniform(0.0, bound_s)
        if delay_s >= remaining_s:
            return None
        if budget is not None and not budget.try_retry(now_s):
            return None
        return delay_s
