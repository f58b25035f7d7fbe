"""Results of batch items."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class ResultState(Enum):
    """How an item has ended."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class ItemResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of an item; immutable once it has a position in the job's list.

    :param versions: all weight versions that generated events of the text.
    :param score: signature of the scorer's response.
    """

    item_id: ids.ItemId
    state: ResultState
    text: str = ''
    versions: tuple[ids.WeightVersion, ...] = ()
    score: str | None = None
