"""Estimate of how long an engine takes to load a version."""

from __future__ import annotations

# Delay of the first poll before any load has been observed.
_INITIAL_FIRST_POLL_DELAY_S = 0.85
_MIN_FIRST_POLL_DELAY_S = 0.05
POLL_INTERVAL_S = 0.06


class LoadDuration:
    """Learns when to poll for the first time whether a load is done.

    Each poll is a call to the endpoint, and a late poll delays the next load.
    """

    def __init__(self) -> None:
        self.first_poll_delay_s = _INITIAL_FIRST_POLL_DELAY_S

    def observe(self, duration_s: float, poll_count: int) -> None:
        """Record the duration of a load, as found by polling.

        A load found done at the first poll may have ended earlier, so the
        next first poll comes one interval sooner.

        :param duration_s: time from the order to the poll that found the load
            done, in seconds.
        :param poll_count: number of polls, including that one.
        """
        if poll_count == 1:
            duration_s = self.first_poll_delay_s
        self.first_poll_delay_s = max(
            duration_s - POLL_INTERVAL_S, _MIN_FIRST_POLL_DELAY_S
        )
