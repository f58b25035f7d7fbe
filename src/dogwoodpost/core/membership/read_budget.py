"""Share of the store's reads that one process may use."""

from __future__ import annotations

# The rest is for reads on behalf of clients, and for processes that read all
# tables anew after a restart.
_FEED_SHARE = 0.6
# Beyond this, changes of the configuration would come into force too late.
_MAX_FACTOR = 8.0


class ReadBudget:
    """Slows the feeds of a large system down to what the store allows.

    :param reads_per_s: what the store allows all processes together.
    :param feed_reads_per_s: reads of one process's feeds at their fastest.
    """

    def __init__(self, reads_per_s: float, feed_reads_per_s: float) -> None:
        self._feed_reads_per_s = feed_reads_per_s
        self._allowed_reads_per_s = reads_per_s * _FEED_SHARE

    def pause_factor(self, process_count: int) -> float:
        """Return by how much pauses between reads are longer than usual."""
        reads_per_s = self._feed_reads_per_s * process_count
        factor = reads_per_s / self._allowed_reads_per_s
        return min(max(factor, 1.0), _MAX_FACTOR)
