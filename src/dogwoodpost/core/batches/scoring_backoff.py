"""Delay before a scoring call is repeated."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

_MIN_DELAY_S = 0.05
_FIRST_MAX_DELAY_S = 0.2
_MAX_DELAY_S = 1.0
_GROWTH_FACTOR = 2.0


class ScoringBackoff:
    """Draws delays from a range that grows while the service refuses.

    The calls of a step are refused together; equal delays would make them
    return together.
    """

    def __init__(self) -> None:
        self._max_delay_s = _FIRST_MAX_DELAY_S

    def next_delay_s(self, rng: random.Random, *, refused: bool) -> float:
        """Return the delay before the next attempt.

        :param refused: whether the service refused the last attempt as full.
        """
        if not refused:
            self._max_delay_s = _FIRST_MAX_DELAY_S
        delay_s = rng.uniform(_MIN_DELAY_S, self._max_delay_s)
        if refused:
            self._max_delay_s = min(
                self._max_delay_s * _GROWTH_FACTOR, _MAX_DELAY_S
            )
        return delay_s
