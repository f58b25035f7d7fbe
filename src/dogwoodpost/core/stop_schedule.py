"""Times at which the stages of a planned stop end."""

from __future__ import annotations

import msgspec

# The load balancer notices a stop after two readiness checks, which are a
# second apart. Until then, new connections arrive.
BALANCER_NOTICE_S = 2.6
# Time for the first requests of connections that arrived until then.
_LATE_ARRIVAL_S = 0.2
# Parts of the grace period that are left when each stage ends. After it, the
# process is killed with whatever it still does.
_HAND_OVER_S = 1.8
_CLOSING_S = 1.0
_EXIT_MARGIN_S = 0.5
# They shrink with shorter grace periods: requests that were sent right after
# the signal may be cut in the last sixth only.
_FULL_GRACE_S = 6.25


class StopSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a stop, on the process's clock.

    :param start_s: when the stop signal arrived.
    :param grace_s: time from the signal until the process is killed.
    """

    start_s: float
    grace_s: float

    @property
    def notice_end_s(self) -> float:
        """Return until when clients may not know of the stop.

        Requests are taken until then, whatever time limit they have.
        """
        return min(self.start_s + BALANCER_NOTICE_S, self.requests_end_s)

    @property
    def items_end_s(self) -> float:
        """Return when running batch items are given to other processes."""
        return self._before_kill(_HAND_OVER_S)

    @property
    def requests_end_s(self) -> float:
        """Return when running requests are cut."""
        return self._before_kill(_CLOSING_S)

    @property
    def exit_s(self) -> float:
        """Return when the process exits with whatever is still open."""
        return self._before_kill(_EXIT_MARGIN_S)

    def may_take(self, time_limit_s: float, now_s: float) -> bool:
        """Return whether to take a request that arrives now.

        :param time_limit_s: longest time that the request may take.
        """
        if now_s >= self.requests_end_s:
            return False
        if now_s <= self.notice_end_s + _LATE_ARRIVAL_S:
            return True
        return now_s + time_limit_s <= self.requests_end_s

    def _before_kill(self, left_s: float) -> float:
        share = min(self.grace_s / _FULL_GRACE_S, 1.0)
        return self.start_s + self.grace_s - left_s * share
