"""Demand by time of day, learnt from earlier days."""

from __future__ import annotations

import msgspec

DAY_S = 86_400
BIN_S = 300
_BIN_COUNT = DAY_S // BIN_S
# Weight of the latest day in the exponential moving average. With 0.4, the
# last five days make up 92% of the average.
_LATEST_DAY_WEIGHT = 0.4


class DailyProfile(msgspec.Struct, kw_only=True):
    """Peak demand of each 5 min bin of the day, and its mean deviation.

    :param means: mean peak of each bin, in concurrent requests; None for a
        bin that was never observed.
    :param deviations: mean absolute deviation of each bin's peak, in
        concurrent requests.
    :param open_bin: bin that is being observed, counted from the Unix epoch.
    :param open_peak: peak so far of the open bin; negative if only a part of
        the bin is observed.
    """

    means: list[float | None] = msgspec.field(
        default_factory=lambda: [None] * _BIN_COUNT
    )
    deviations: list[float] = msgspec.field(
        default_factory=lambda: [0.0] * _BIN_COUNT
    )
    open_bin: int | None = None
    open_peak: float = 0.0

    def observe(self, wall_s: float, demand: float) -> None:
        """Record the demand at a time.

        Only bins that were observed from their start enter the profile.

        :param wall_s: wall-clock time.
        :param demand: concurrent requests.
        """
        bin_number = int(wall_s // BIN_S)
        if self.open_bin is None:
            # The first bin is only partly observed and is left out.
            self.open_bin = bin_number
            self.open_peak = -1.0
        elif bin_number != self.open_bin:
            self._close_bin(self.open_bin % _BIN_COUNT)
            self.open_bin = bin_number
            self.open_peak = demand
        elif self.open_peak >= 0.0:
            self.open_peak = max(self.open_peak, demand)

    def expected(
        self, from_s: float, to_s: float, deviation_count: float = 0.0
    ) -> float | None:
        """Return the highest expected demand in a time range.

        :param from_s: start of the range, in wall-clock time.
        :param to_s: end of the range, in wall-clock time.
        :param deviation_count: number of mean deviations to add to the mean.
        :returns: concurrent requests, or None if a part of the range was
            never observed.
        """
        highest = 0.0
        for bin_number in range(int(from_s // BIN_S), int(to_s // BIN_S) + 1):
            index = bin_number % _BIN_COUNT
            mean = self.means[index]
            if mean is None:
                return None
            reserve = deviation_count * self.deviations[index]
            highest = max(highest, mean + reserve)
        return highest

    def _close_bin(self, index: int) -> None:
        if self.open_peak < 0.0:
            return
        mean = self.means[index]
        if mean is None:
            self.means[index] = self.open_peak
            return
        difference = self.open_peak - mean
        self.means[index] = mean + _LATEST_DAY_WEIGHT * difference
        self.deviations[index] += _LATEST_DAY_WEIGHT * (
            abs(difference) - self.deviations[index]
        )
