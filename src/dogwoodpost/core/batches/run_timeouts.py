"""Timeouts of the runs of one batch item, and the pauses between runs."""

from __future__ import annotations

from dogwoodpost.core.connections import trusted_idle_s

# Includes the time for queueing and for processing the prompt.
_HEAD_TIMEOUT_S = 2.0
# A change of weights delays the events of a stream by about a second.
_IDLE_TIMEOUT_S = 1.5
_GROWTH_FACTOR = 2.0
# Keeps the timeouts of a run within the lifetime of most items.
_MAX_FACTOR = 8.0
# The first retry has no pause, so that a fault of one endpoint costs little
# time. The pause grows with each further retry, which avoids a busy loop while
# all endpoints fail.
_PAUSE_STEP_S = 0.1
_MAX_PAUSE_S = 1.0


class RunTimeouts:
    """Extends the timeouts of an item's runs after the second silent run.

    The first silent run does not extend them, so that a single silent
    endpoint costs little time. If the events of every endpoint are far apart,
    constant timeouts would end each run before its next event.
    """

    def __init__(self) -> None:
        self._silent_run_count = 0
        self._interruption_count = 0
        self._max_idle_s: float | None = None

    @property
    def max_idle_s(self) -> float | None:
        """Return how long the next run's connection may have been idle.

        All kept connections may have gone silent together. None after a run
        that was not silent.
        """
        return self._max_idle_s

    @property
    def head_timeout_s(self) -> float:
        """Return the timeout for the head of a response, in seconds."""
        return _HEAD_TIMEOUT_S * self._timeout_factor()

    @property
    def idle_timeout_s(self) -> float:
        """Return the timeout for the next event, in seconds."""
        return _IDLE_TIMEOUT_S * self._timeout_factor()

    def record_interruption(
        self, *, is_silent: bool, has_new_events: bool
    ) -> float:
        """Record an interrupted run; return the pause before the next one.

        :param is_silent: whether a timeout ended the run.
        :param has_new_events: whether the run added events to the text.
        :return: pause in seconds.
        """
        self._max_idle_s = (
            trusted_idle_s(self.idle_timeout_s) if is_silent else None
        )
        if has_new_events:
            self._interruption_count = 0
        elif is_silent:
            self._silent_run_count += 1
        pause_s = min(self._interruption_count * _PAUSE_STEP_S, _MAX_PAUSE_S)
        self._interruption_count += 1
        return pause_s

    def _timeout_factor(self) -> float:
        factor = _GROWTH_FACTOR ** max(self._silent_run_count - 1, 0)
        return min(factor, _MAX_FACTOR)
