"""Intent of an endpoint order, as stored in the table."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.ports.endpoint_orders import EndpointOrder
from dogwoodpost.ports.endpoint_orders import OrderAction


class IntentState(Enum):
    """State of an order.

    ``DRAINING``: the endpoint of a stop order is being drained; the order has
    certainly not been sent. ``OPEN``: the order may have been sent. The other
    states are final. ``ABANDONED``: the platform did not show the effect of
    the order within the settlement time; the order number is never sent
    again.
    """

    DRAINING = 'draining'
    OPEN = 'open'
    DONE = 'done'
    REFUSED = 'refused'
    ABANDONED = 'abandoned'
    CANCELLED = 'cancelled'


class OrderIntent(msgspec.Struct, frozen=True, kw_only=True):
    """Write-ahead record of one order of a shard.

    :param number: sequence number of the order within the shard, from 1.
    :param endpoint_id: endpoint to stop; None for a start.
    :param detail: reason for the state, for operators.
    """

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
        """Return the id that the order has at the platform."""
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
        """Return this stop as open after the endpoint has drained.

        :param fencing_number: number of the lease holder that will send it.
        """
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

    :raises MalformedRowError: the value is not a valid intent.
    """
    return decode_json_row(value, OrderIntent)
