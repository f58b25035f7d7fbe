"""Time that moves of running items have cost."""

from __future__ import annotations

# Prompt and text are read again and a connection is opened.
_INITIAL_COST_S = 0.15
_SMOOTHING_FACTOR = 0.1
# A single move that waited for an endpoint for long must not stop all others.
_MAX_COST_S = 2.0


class MoveCost:
    """Moving average of the cost of the moves of this process."""

    def __init__(self) -> None:
        self._average_s = _INITIAL_COST_S

    @property
    def average_s(self) -> float:
        """Return the expected cost of a move, in seconds."""
        return self._average_s

    def record(self, cost_s: float) -> None:
        """Record a move.

        :param cost_s: time from leaving an endpoint until the first event at
            the next one, without the gap that every event takes.
        """
        bounded_s = min(max(cost_s, 0.0), _MAX_COST_S)
        self._average_s += _SMOOTHING_FACTOR * (bounded_s - self._average_s)
