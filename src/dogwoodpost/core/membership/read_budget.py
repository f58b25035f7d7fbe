"""Read rate that one process may use of the store's limit."""

from __future__ import annotations

# Share of the read rate for polling changes. The rest is for reads on behalf
# of clients, and for processes that read whole tables after a restart.
_FEED_SHARE = 0.6
# With longer pauses, changes of the configuration take effect too late.
_MAX_PAUSE_FACTOR = 8.0


class ReadBudget:
    """Slows down change polling so that all processes fit the read limit.

    :param reads_per_s: read limit of the store for all processes together.
    :param feed_reads_per_s: reads per second of one process's feeds without
        a slow-down.
    """

    def __init__(self, reads_per_s: float, feed_reads_per_s: float) -> None:
        self._feed_reads_per_s = feed_reads_per_s
        self._allowed_reads_per_s = reads_per_s * _FEED_SHARE

    def pause_factor(self, process_count: int) -> float:
        """Return the factor, at least 1, for the pauses between reads."""
        reads_per_s = self._feed_reads_per_s * process_count
        factor = reads_per_s / self._allowed_reads_per_s
        return min(max(factor, 1.0), _MAX_PAUSE_FACTOR)
