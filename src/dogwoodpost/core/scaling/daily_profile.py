"""Demand by time of day, learnt from earlier days."""

from __future__ import annotations

import msgspec

DAY_S = 86_400
BIN_S = 300
_BIN_COUNT = DAY_S // BIN_S
# Weight of the latest day. With 0.4, the last five days make up 92%.
_LATEST_DAY_WEIGHT = 0.4


class DailyProfile(msgspec.Struct, kw_only=True):
    """Highest demand of each 5 min of the day, and its usual deviation.

    ``means`` and ``deviations`` are in concurrent requests; None stands for a
    time of day that was never observed.
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
        """Take the demand at a time; whole bins enter the profile."""
        number = int(wall_s // BIN_S)
        if self.open_bin is None:
            # The first bin is observed in part only and is left out.
            self.open_bin = number
            self.open_peak = -1.0
        elif number != self.open_bin:
            self._close_bin(self.open_bin % _BIN_COUNT)
            self.open_bin = number
            self.open_peak = demand
        elif self.open_peak >= 0.0:
            self.open_peak = max(self.open_peak, demand)

    def expected(
        self, from_s: float, to_s: float, deviation_count: float = 0.0
    ) -> float | None:
        """Return the highest usual demand in a span of time.

        ``deviation_count`` usual deviations are added. The result is None if
        a part of the span was never observed.
        """
        highest = 0.0
        for number in range(int(from_s // BIN_S), int(to_s // BIN_S) + 1):
            index = number % _BIN_COUNT
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
