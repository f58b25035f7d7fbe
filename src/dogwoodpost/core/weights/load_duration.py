"""How long an engine takes to load a version."""

from __future__ import annotations

# The first load is looked at from here on.
_FIRST_EXPECTED_S = 0.85
_MIN_EXPECTED_S = 0.05
POLL_INTERVAL_S = 0.06


class LoadDuration:
    """Learns when to look first whether a load is done.

    Each look is a call, and a late one holds up the next load.
    """

    def __init__(self) -> None:
        self.first_poll_delay_s = _FIRST_EXPECTED_S

    def observe(self, duration_s: float, poll_count: int) -> None:
        """Take a load that was found done at one of the looks."""
        if poll_count == 1:
            duration_s = self.first_poll_delay_s
        self.first_poll_delay_s = max(
            duration_s - POLL_INTERVAL_S, _MIN_EXPECTED_S
        )
