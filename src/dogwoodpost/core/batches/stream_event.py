"""One event of a generated stream."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A whole event.

    :param weight_version: set where the version changes with this event.
    """

    event_id: int
    data: str
    weight_version: ids.WeightVersion | None = None
