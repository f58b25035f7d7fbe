"""How long the outputs of batch items are expected to be."""

from __future__ import annotations

# Before any output is known, an item without an estimate counts as this long.
_DEFAULT_TOKENS = 1_000
# Older outputs fade, since models and their event sizes change.
_DECAY = 0.99


class OutputLengths:
    """Compares estimates in tokens with outputs in events.

    Estimates are right at the median but often far off for one item. An item
    that has run before is at least as long as it was then, whether or not
    its text may still be used.
    """

    def __init__(self) -> None:
        self._estimated_tokens = 0.0
        self._event_count = 0.0

    def record(self, estimated_tokens: int | None, event_count: int) -> None:
        """Take a complete output and the estimate that came with it."""
        if estimated_tokens is None or event_count < 1:
            return
        self._estimated_tokens *= _DECAY
        self._estimated_tokens += estimated_tokens
        self._event_count *= _DECAY
        self._event_count += event_count

    def expected_tokens(
        self, estimated_tokens: int | None, seen_event_count: int
    ) -> int:
        """Return how long an output is expected to be, in tokens.

        :param seen_event_count: events of the longest run so far.
        """
        estimate = estimated_tokens or _DEFAULT_TOKENS
        event_tokens = self._event_tokens()
        if event_tokens is None:
            return estimate
        return max(estimate, round(seen_event_count * event_tokens))

    def events_left(self, expected_tokens: int, event_count: int) -> float:
        """Return how many events are expected to be left.

        0.0 if the size of events is unknown.

        :param expected_tokens: of the whole output.
        :param event_count: events of its text so far.
        """
        event_tokens = self._event_tokens()
        if event_tokens is None:
            return 0.0
        return max(expected_tokens / event_tokens - event_count, 0.0)

    def _event_tokens(self) -> float | None:
        """Return the tokens of an event as estimated, None if unknown."""
        if not self._event_count:
            return None
        return self._estimated_tokens / self._event_count
