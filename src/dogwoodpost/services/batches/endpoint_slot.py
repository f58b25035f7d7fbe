"""Capacity of an endpoint that is held for one batch item."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches.group_needs import ItemNeed
from dogwoodpost.core.routing import Endpoint


class EndpointSlot(msgspec.Struct, frozen=True):
    """Capacity of an endpoint that is held for one attempt.

    :param token_count: expected output of the item in tokens, counted in the
        endpoint's token load until the slot is released.
    :param wait_s: time for which the item waited for the slot.
    :param need: whether the trainer needed the item's group at its start.
    """

    endpoint: Endpoint
    attempt_id: ids.AttemptId
    token_count: int
    wait_s: float = 0.0
    need: ItemNeed = ItemNeed.NEEDED
