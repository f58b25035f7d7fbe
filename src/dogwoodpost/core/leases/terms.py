"""Durations of a lease."""

from __future__ import annotations

import msgspec


class LeaseTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Durations that holder and successor go by.

    :param duration_s: how long a renewal holds, from before it was sent.
    :param longest_call_s: time limit of the calls that the lease guards; a
        call that was begun under the lease ends within it.
    :param clock_rate_error: largest relative error of a host's clock rate.
        Quartz clocks stay below 0.0005; the default allows for slewing.
    """

    duration_s: float = 9.0
    longest_call_s: float = 2.0
    clock_rate_error: float = 0.005

    @property
    def margin_s(self) -> float:
        """Return how long before expiry the holder stops acting."""
        # The holder's clock may be slow and the call's timer runs on it too.
        return self.duration_s * self.clock_rate_error + self.longest_call_s

    @property
    def renew_interval_s(self) -> float:
        """Return how often the holder renews: three tries fit in a window."""
        return (self.duration_s - self.margin_s) / 3

    def successor_wait_s(self, duration_s: float) -> float:
        """Return how long a successor waits for a holder's duration."""
        return duration_s * (1 + self.clock_rate_error)
