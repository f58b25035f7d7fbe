"""How long the runs of one item wait for their endpoint."""

from __future__ import annotations

# Queueing and reading of the prompt come before the head of a response.
_HEAD_TIMEOUT_S = 2.0
# A change of weights holds streams up for about a second.
_SILENCE_S = 1.5
_GROWTH = 2.0
# A run is given no longer than most items may take in all.
_MAX_FACTOR = 8.0


class RunLimits:
    """Gives runs more time once a second one was silent.

    One silent endpoint costs little. Where events come far apart at every
    endpoint, the same limit would cut each run before its next event.
    """

    def __init__(self) -> None:
        self._silent_count = 0

    @property
    def head_timeout_s(self) -> float:
        """Return how long to wait for the head of a response, in seconds."""
        return _HEAD_TIMEOUT_S * self._factor()

    @property
    def silence_s(self) -> float:
        """Return how long to wait for the next event, in seconds."""
        return _SILENCE_S * self._factor()

    def note_silence(self) -> None:
        """Note a run that ended without a new event for lack of time."""
        self._silent_count += 1

    def _factor(self) -> float:
        growth = _GROWTH ** max(self._silent_count - 1, 0)
        return min(growth, _MAX_FACTOR)
