"""Expected output lengths of batch items."""

from __future__ import annotations

# Assumed output length of an item without an estimate.
_DEFAULT_TOKENS = 1_000
# Each new output reduces the weight of older ones by this factor, since
# models and the sizes of their events change.
_DECAY_FACTOR = 0.99


class OutputLengths:
    """Converts between estimates in tokens and outputs in events.

    Estimates are right at the median but often far off for a single item. An
    item that has run before is expected to become at least as long as in that
    run, whether or not the text of that run may still be used.
    """

    def __init__(self) -> None:
        self._estimated_tokens = 0.0
        self._event_count = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether the number of tokens per event is known."""
        return self._event_count > 0.0

    def record(self, estimated_tokens: int | None, event_count: int) -> None:
        """Record the length of a complete output and its estimate.

        Outputs without events or without an estimate are ignored.
        """
        if estimated_tokens is None or event_count < 1:
            return
        self._estimated_tokens *= _DECAY_FACTOR
        self._estimated_tokens += estimated_tokens
        self._event_count *= _DECAY_FACTOR
        self._event_count += event_count

    def expected_tokens(
        self, estimated_tokens: int | None, longest_event_count: int
    ) -> int:
        """Return the expected length of an output, in tokens.

        :param estimated_tokens: the item's estimate, None if it has none.
        :param longest_event_count: number of events of the item's longest run.
        """
        estimate = estimated_tokens or _DEFAULT_TOKENS
        tokens_per_event = self._tokens_per_event()
        if tokens_per_event is None:
            return estimate
        return max(estimate, round(longest_event_count * tokens_per_event))

    def events_left(self, expected_tokens: int, event_count: int) -> float:
        """Return the expected number of events that are still to come.

        0.0 if the number of tokens per event is unknown.

        :param expected_tokens: expected length of the whole output.
        :param event_count: number of events received so far.
        """
        tokens_per_event = self._tokens_per_event()
        if tokens_per_event is None:
            return 0.0
        return max(expected_tokens / tokens_per_event - event_count, 0.0)

    def _tokens_per_event(self) -> float | None:
        """Return the estimated tokens per event, None if unknown."""
        if not self._event_count:
            return None
        return self._estimated_tokens / self._event_count
