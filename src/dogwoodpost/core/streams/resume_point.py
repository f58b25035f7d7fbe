"""Event after which a client resumes a stream of an earlier request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.streams.event_block import is_event_id

if TYPE_CHECKING:
    from dogwoodpost.core.http_headers import Headers

# In the HTML standard's section on server-sent events.
_LAST_EVENT_ID = 'last-event-id'


def requested_resume_point(headers: Headers) -> int | None:
    """Return the event id in a request's headers, None without a valid one."""
    for name, value in headers:
        if name.lower() == _LAST_EVENT_ID and is_event_id(value.encode()):
            return int(value)
    return None
