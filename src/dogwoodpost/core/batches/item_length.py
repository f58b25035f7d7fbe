"""Expected output length of one batch item."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.batches.output_lengths import OutputLengths

# An output that exceeds its estimate is expected to go on for this share of
# the events received. This is about the median remainder if estimates are off
# by half in either direction.
_EXCESS_SHARE = 0.25


class ItemLength:
    """Expects an item to become at least as long as in its longest run.

    :param estimated_tokens: the item's estimate, None if it has none.
    """

    def __init__(
        self, lengths: OutputLengths, estimated_tokens: int | None
    ) -> None:
        self._lengths = lengths
        self._estimated_tokens = estimated_tokens
        self._longest_event_count = 0

    def note_event_count(self, event_count: int) -> None:
        """Record the number of events of a run."""
        self._longest_event_count = max(self._longest_event_count, event_count)

    def record_end(self, event_count: int) -> None:
        """Record the length of the complete output."""
        self._lengths.record(self._estimated_tokens, event_count)

    def expected_tokens(self) -> int:
        """Return the expected length of the whole output, in tokens."""
        return self._lengths.expected_tokens(
            self._estimated_tokens, self._longest_event_count
        )

    def events_left(self, event_count: int) -> float:
        """Return the estimated number of events left, 0.0 if unknown.

        :param event_count: number of events received so far.
        """
        return self._lengths.events_left(self.expected_tokens(), event_count)

    def remainder(self, event_count: int) -> float:
        """Return the events left of an output that may exceed its estimate.

        0.0 if the number of tokens per event is unknown.

        :param event_count: number of events received so far.
        """
        if not self._lengths.is_known:
            return 0.0
        return max(self.events_left(event_count), _EXCESS_SHARE * event_count)
