"""Expected time between the next events of an endpoint's streams."""

from __future__ import annotations

import msgspec

# Time that ``ExpectedGap.slow_share`` covers.
SLOW_WINDOW_S = 3.0
# Temporary slowdowns end after about this long.
_TEMPORARY_S = 0.6
# Two temporary slowdowns in a row cover 0.4 of the window.
_LASTING_SHARE = 0.5


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
        """Return whether the endpoint was slow, but not for long enough.

        An endpoint that is a little slower than others all the time is not
        counted: its share is zero.
        """
        return 0.0 < self.slow_share < _LASTING_SHARE

    def duration_s(self, event_count: float) -> float:
        """Return the expected time until a stream has sent more events.

        The fast average holds for the time that a temporary slowdown lasts,
        and the slow average afterwards. A slowdown that has lasted longer is
        expected to last as long again.
        """
        horizon_s = max(_TEMPORARY_S, self.slow_share * SLOW_WINDOW_S)
        fast_duration_s = event_count * self.fast_s
        if fast_duration_s <= horizon_s:
            return fast_duration_s
        fast_event_count = horizon_s / self.fast_s
        return horizon_s + (event_count - fast_event_count) * self.slow_s
