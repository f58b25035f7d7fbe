"""Generated part of an item, from which another run can resume."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class ItemProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Events of an item that have been generated so far.

    :param versions: weight version of each event.
    :param last_event_id: id of the last event.
    :param is_complete: whether the stream has ended.
    :param score: signature of the scorer's response, None if there is none.
    :param scorer_request_id: id of the scorer request that ``score`` is from.
    """

    item_id: ids.ItemId
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]
    last_event_id: int
    is_complete: bool = False
    score: str | None = None
    scorer_request_id: ids.RequestId | None = None
