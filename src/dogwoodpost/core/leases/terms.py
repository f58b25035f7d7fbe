"""Timing parameters of a lease."""

from __future__ import annotations

import msgspec


class LeaseTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Timing parameters that the holder and its successors share.

    :param duration_s: how long a renewal is valid, counted from the time
        before it was sent.
    :param longest_call_s: timeout of the calls that the lease guards. A call
        that starts under the lease ends within this time.
    :param clock_rate_error: largest relative error of a host's clock rate.
        Quartz clocks stay below 0.0005; the default allows for slewing.
    """

    duration_s: float = 9.0
    longest_call_s: float = 2.0
    clock_rate_error: float = 0.005

    @property
    def margin_s(self) -> float:
        """Return how long before expiry the holder starts no more calls."""
        # The holder's clock may be slow. The timer of a call runs on the same
        # clock, so the error is counted over the whole duration.
        return self.duration_s * self.clock_rate_error + self.longest_call_s

    @property
    def renew_interval_s(self) -> float:
        """Return the renewal interval; three attempts fit before expiry."""
        return (self.duration_s - self.margin_s) / 3

    def successor_wait_s(self, duration_s: float) -> float:
        """Return how long a successor waits for a lease to expire.

        :param duration_s: duration that the holder wrote in its renewal.
        """
        return duration_s * (1 + self.clock_rate_error)
