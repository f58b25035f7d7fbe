"""Tracks how much of a response was forwarded to the caller."""

from __future__ import annotations


class StreamProgress:
    """Decides whether another endpoint can continue an interrupted response.

    :param resumable: another endpoint can resume the stream after an event
        whose id is known.
    """

    def __init__(self, *, resumable: bool) -> None:
        self.has_begun = False
        self.last_event_id: int | None = None
        self._resumable = resumable

    @property
    def can_continue(self) -> bool:
        """Return whether another endpoint can continue the response."""
        return not self.has_begun or self._resumable

    def note_head(self, *, is_stream: bool) -> None:
        """Record that status and headers were forwarded.

        :param is_stream: the body is an event stream; false for a failure,
            which can't be resumed.
        """
        self.has_begun = True
        self._resumable = self._resumable and is_stream

    def note_data(
        self, *, ends_event: bool, last_event_id: int | None
    ) -> None:
        """Record that data was forwarded.

        :param ends_event: the data ends with a complete event.
        :param last_event_id: id of the last event, None before the first.
        """
        self._resumable = self._resumable and ends_event
        self.last_event_id = last_event_id
