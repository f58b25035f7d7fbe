"""Tracks how much of a response was forwarded to the caller."""

from __future__ import annotations

from dogwoodpost.core.streams.stream_run import StreamRun


class StreamProgress:
    """Decides whether another endpoint can continue an interrupted response.

    :param resumable: another endpoint can resume the stream after an event
        whose id is known.
    """

    def __init__(self, *, resumable: bool) -> None:
        self.has_begun = False
        self.last_event_id: int | None = None
        self._resumable = resumable
        self._names_versions = False

    @property
    def can_continue(self) -> bool:
        """Return whether another endpoint can continue the response."""
        return not self.has_begun or self._resumable

    def note_head(
        self, *, is_stream: bool, names_version: bool = False
    ) -> None:
        """Record that status and headers were forwarded.

        :param is_stream: the body is an event stream; no other response can
            be resumed.
        :param names_version: the head names the weight version that generates
            the events.
        """
        self.has_begun = True
        self._resumable = self._resumable and is_stream
        self._names_versions = names_version

    def next_run(self, requested_after: int | None) -> StreamRun:
        """Return the checks of the next run.

        :param requested_after: event after which the caller itself resumes
            the stream of an earlier request, None if it does not.
        """
        if not self.has_begun:
            return StreamRun(
                after=requested_after,
                names_versions=None,
                must_be_stream=False,
            )
        after = self.last_event_id
        return StreamRun(
            after=requested_after if after is None else after,
            names_versions=self._names_versions,
        )

    def note_data(
        self, *, ends_event: bool, last_event_id: int | None
    ) -> None:
        """Record that data was forwarded.

        :param ends_event: the data ends with a complete event after which the
            stream can be resumed.
        :param last_event_id: id of the last event, None before the first.
        """
        self._resumable = self._resumable and ends_event
        self.last_event_id = last_event_id
