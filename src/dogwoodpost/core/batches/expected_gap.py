"""Expected time between the next events of an endpoint's streams."""

from __future__ import annotations

import msgspec

# Temporary slowdowns end after about this long.
_TEMPORARY_S = 0.6
_TEMPORARY_RATIO = 1.25
# Two temporary slowdowns in a row cover this share of the window.
_LASTING_SHARE = 0.4


class ExpectedGap(msgspec.Struct, frozen=True):
    """Fast and slow average of the time between an endpoint's events.

    :param fast_s: average over the last few tenths of a second.
    :param slow_s: average over the last few seconds.
    :param slow_share: share of the last seconds in which the endpoint was
        slower than most others.
    """

    fast_s: float
    slow_s: float
    slow_share: float = 0.0

    @property
    def is_temporary_slowdown(self) -> bool:
        """Return whether the endpoint is slow only at the moment."""
        return (
            self.fast_s > _TEMPORARY_RATIO * self.slow_s
            and self.slow_share < _LASTING_SHARE
        )

    def duration_s(self, event_count: float) -> float:
        """Return the expected time until a stream has sent more events.

        The fast average holds for the time that a temporary slowdown lasts,
        and the slow average afterwards.
        """
        fast_duration_s = event_count * self.fast_s
        if fast_duration_s <= _TEMPORARY_S:
            return fast_duration_s
        fast_event_count = _TEMPORARY_S / self.fast_s
        return _TEMPORARY_S + (event_count - fast_event_count) * self.slow_s
