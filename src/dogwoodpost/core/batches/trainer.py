"""Unit by which the slots of a service are shared."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.membership.peer_states import ItemDemand


class Trainer(msgspec.Struct, frozen=True):
    """A client account that trains a model at the engines of a service."""

    service: ids.ServiceName
    model: ids.ModelName | None
    client_account_id: ids.ClientAccountId | None


def trainer_of(source: PlacementRequest | ItemDemand) -> Trainer:
    """Return the trainer for which items run or wait."""
    return Trainer(source.service, source.model, source.client_account_id)
