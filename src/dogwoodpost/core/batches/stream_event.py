"""One event of a generated stream."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A complete event of a stream.

    :param weight_version: set if the version changes with this event, None
        otherwise.
    """

    event_id: int
    data: str
    weight_version: ids.WeightVersion | None = None
