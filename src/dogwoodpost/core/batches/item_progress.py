"""What has been generated of an item, to be continued by another run."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids


class ItemProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Events of an item so far.

    :param last_event_id: id of the last event.
    :param is_complete: the stream has ended.
    :param scorer_request_id: the request that ``score`` answers.
    """

    item_id: ids.ItemId
    events: tuple[str, ...]
    versions: tuple[ids.WeightVersion, ...]
    last_event_id: int
    is_complete: bool = False
    score: str | None = None
    scorer_request_id: ids.RequestId | None = None
