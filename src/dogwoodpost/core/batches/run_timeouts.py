"""How long the runs of one item wait, for their endpoint and for the next."""

from __future__ import annotations

# Queueing and reading of the prompt come before the head of a response.
_HEAD_TIMEOUT_S = 2.0
# A change of weights holds streams up for about a second.
_SILENCE_S = 1.5
_GROWTH = 2.0
# A run is given no longer than most items may take in all.
_MAX_FACTOR = 8.0
# The first repeat goes out at once, so that a fault of one endpoint costs
# little; the pause of the others keeps a fault of all from a busy loop.
_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0


class RunTimeouts:
    """Gives runs more time once a second one was silent.

    One silent endpoint costs little. Where events come far apart at every
    endpoint, the same limit would cut each run before its next event.
    """

    def __init__(self) -> None:
        self._silent_count = 0
        self._break_count = 0

    @property
    def head_timeout_s(self) -> float:
        """Return how long to wait for the head of a response, in seconds."""
        return _HEAD_TIMEOUT_S * self._factor()

    @property
    def idle_timeout_s(self) -> float:
        """Return how long to wait for the next event, in seconds."""
        return _SILENCE_S * self._factor()

    def record_interruption(
        self, *, is_silent: bool, has_new_events: bool
    ) -> float:
        """Note a run that broke off; return the pause before the next, in s.

        :param is_silent: it was ended for lack of time.
        :param has_new_events: it added to the text.
        """
        if has_new_events:
            self._break_count = 0
        elif is_silent:
            self._silent_count += 1
        pause_s = min(self._break_count * _PAUSE_S, _MAX_PAUSE_S)
        self._break_count += 1
        return pause_s

    def _factor(self) -> float:
        growth = _GROWTH ** max(self._silent_count - 1, 0)
        return min(growth, _MAX_FACTOR)
