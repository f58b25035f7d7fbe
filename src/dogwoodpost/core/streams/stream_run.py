"""Decides whether a response is a whole run of an event stream."""

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
    """One run of a stream, which may continue earlier ones.

    An endpoint that is asked to resume after the last event has nothing left
    to generate: it answers with an empty event stream that names no weight
    version and no length. Any other response without events has lost them,
    unless it is a first run and HTTP itself marks where its body ends.

    :param after: id of the event to resume after, None at the start.
    :param names_versions: whether runs of this stream name the weight version
        that generates their events, None if that is unknown.
    :param must_be_stream: whether the response has to be an event stream that
        has events or proves that none are left. Otherwise it is a first run,
        which may be any response.
    """

    def __init__(
        self,
        *,
        after: int | None,
        names_versions: bool | None,
        must_be_stream: bool = True,
    ) -> None:
        self._after = after
        self._names_versions = names_versions
        self._must_be_stream = must_be_stream
        self._needs_events = must_be_stream
        self._version: ids.WeightVersion | None = None
        self._has_length = False
        self._has_events = False

    def check_head(
        self,
        status: int,
        headers: Headers,
        version: ids.WeightVersion | None,
        *,
        ends_with_connection: bool,
    ) -> None:
        """Check that the head of a response belongs to the stream.

        :param version: weight version that the head names.
        :param ends_with_connection: only the end of the connection marks that
            of the body, so that a part of the body looks whole.
        :raises EndpointError: the response is not an event stream, but has to
            be one.
        """
        is_stream = is_stream_head(status, headers)
        if self._must_be_stream and not is_stream:
            raise EndpointError(
                f'the response with status {status} is no event stream'
            )
        self._needs_events = self._must_be_stream or (
            is_stream and ends_with_connection
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
        if self._has_events or not self._needs_events:
            return
        is_after_end = (
            self._after is not None
            and self._names_versions is not False
            and self._version is None
            and not self._has_length
        )
        if not is_after_end:
            raise EndpointError('the stream ended without its events')


def is_stream_head(status: int, headers: Headers) -> bool:
    """Return whether a response is an event stream that can be resumed."""
    return status == _STATUS_OK and is_event_stream(headers)
