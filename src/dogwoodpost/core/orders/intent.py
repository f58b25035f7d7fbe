"""Intent of an endpoint order, as it stands in the table."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.ports.endpoint_orders import EndpointOrder
from dogwoodpost.ports.endpoint_orders import OrderAction


class IntentState(Enum):
    """How far an order has come.

    ``DRAINING`` precedes a stop and was surely not sent. ``OPEN`` may have
    been sent. The others are final. ``ABANDONED`` means that the platform did
    not show the order within the settlement time; its number is never sent
    again.
    """

    DRAINING = 'draining'
    OPEN = 'open'
    DONE = 'done'
    REFUSED = 'refused'
    ABANDONED = 'abandoned'
    CANCELLED = 'cancelled'


class OrderIntent(msgspec.Struct, frozen=True, kw_only=True):
    """One order of a shard, written before the order is sent."""

    number: int
    shard: ids.ShardName
    fencing_number: ids.FencingNumber
    service: ids.ServiceName
    availability_zone: ids.AvailabilityZone
    action: OrderAction
    state: IntentState
    endpoint_id: ids.EndpointId | None = None
    detail: str = ''

    @property
    def key(self) -> str:
        """Return the key of the intent's row."""
        return f'{intent_prefix(self.shard)}{self.number:012d}'

    @property
    def order_id(self) -> ids.OperationId:
        """Return the id under which the platform sees the order."""
        return ids.OperationId(f'{self.shard}/{self.number}')

    @property
    def is_settled(self) -> bool:
        """Return whether the state is final."""
        return self.state not in (IntentState.DRAINING, IntentState.OPEN)

    def order(self) -> EndpointOrder:
        """Return the order to submit."""
        return EndpointOrder(
            order_id=self.order_id,
            service=self.service,
            availability_zone=self.availability_zone,
            action=self.action,
            endpoint_id=self.endpoint_id,
        )

    def with_state(self, state: IntentState, detail: str = '') -> OrderIntent:
        """Return the intent in another state."""
        return msgspec.structs.replace(self, state=state, detail=detail)

    def opened_by(self, fencing_number: ids.FencingNumber) -> OrderIntent:
        """Return a drained stop as its present holder is about to send it."""
        return msgspec.structs.replace(
            self, state=IntentState.OPEN, fencing_number=fencing_number
        )


def intent_prefix(shard: ids.ShardName) -> str:
    """Return the prefix of the keys of a shard's intents."""
    return f'order/{shard}/'


def encode_intent(intent: OrderIntent) -> bytes:
    """Return the row value of an intent."""
    return msgspec.json.encode(intent)


def decode_intent(value: bytes) -> OrderIntent:
    """Return the intent of a row value.

    :raises msgspec.DecodeError: the value is not an intent.
    """
    return msgspec.json.decode(value, type=OrderIntent)
