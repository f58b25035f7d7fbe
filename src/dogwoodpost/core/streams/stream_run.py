"""Checks that a response continues the stream of the runs before it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.http_headers import content_length
from dogwoodpost.core.http_headers import is_event_stream
from dogwoodpost.core.streams.event_version import event_version
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.http_headers import Headers

_STATUS_OK = 200


class StreamRun:
    """One run of a stream that may have been interrupted before.

    An endpoint that is asked to resume after the last event has nothing left
    to generate: it answers with an empty event stream that names no weight
    version and no length. Any other response without events has lost them.

    :param after: id of the last event of the earlier runs, None without one.
    :param names_versions: whether runs of this stream name the weight version
        that generates their events.
    """

    def __init__(self, *, after: int | None, names_versions: bool) -> None:
        self._after = after
        self._names_versions = names_versions
        self._version: ids.WeightVersion | None = None
        self._has_length = False
        self._has_events = False

    def check_head(
        self,
        status: int,
        headers: Headers,
        version: ids.WeightVersion | None,
    ) -> None:
        """Check that the head of a response is that of an event stream.

        :param version: weight version that the head names.
        :raises EndpointError: the response does not belong to the stream.
        """
        if not is_stream_head(status, headers):
            raise EndpointError(
                f'the response with status {status} is no event stream'
            )
        self._version = version
        self._has_length = content_length(headers) is not None

    def note_event(self, version: ids.WeightVersion | None = None) -> None:
        """Record that the response has an event.

        :param version: weight version that the event itself names.
        :raises EndpointError: a run of this stream would have named the
            event's weight version.
        """
        self._has_events = True
        if self._names_versions:
            self._version = event_version(version, self._version)

    def check_end(self) -> None:
        """Check that a response which has ended owes no more events.

        :raises EndpointError: events are missing.
        """
        if self._has_events:
            return
        is_after_end = (
            self._after is not None
            and self._names_versions
            and self._version is None
            and not self._has_length
        )
        if not is_after_end:
            raise EndpointError('the stream ended without its events')


def is_stream_head(status: int, headers: Headers) -> bool:
    """Return whether a response is an event stream that can be resumed."""
    return status == _STATUS_OK and is_event_stream(headers)
