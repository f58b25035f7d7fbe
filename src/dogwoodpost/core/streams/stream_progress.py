"""How much of a response a caller has received."""

from __future__ import annotations


class StreamProgress:
    """Decides whether a response that broke off can go on elsewhere.

    :param resumable: another endpoint can go on after a known event.
    """

    def __init__(self, *, resumable: bool) -> None:
        self.has_begun = False
        self.last_event_id: int | None = None
        self._resumable = resumable

    @property
    def can_continue(self) -> bool:
        """Return whether another endpoint's response fits what was sent."""
        return not self.has_begun or self._resumable

    def note_head(self, *, is_stream: bool) -> None:
        """Note that status and headers were passed on."""
        self.has_begun = True
        self._resumable = self._resumable and is_stream

    def note_data(
        self, *, ends_event: bool, last_event_id: int | None
    ) -> None:
        """Note data that was passed on.

        :param ends_event: the data ends with the end of an event.
        :param last_event_id: id of the last event, None before the first.
        """
        self._resumable = self._resumable and ends_event
        self.last_event_id = last_event_id
