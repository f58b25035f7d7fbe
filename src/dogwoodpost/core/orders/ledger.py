"""Intents of the orders of one shard, and their outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.orders.intent import IntentState
from dogwoodpost.core.orders.intent import OrderIntent
from dogwoodpost.ports.endpoint_orders import OrderAction

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.endpoint_orders import OrderedEndpoint

# Settled intents that stay in the table for operators. A new lease holder
# reads all rows of a shard in one scan, which returns at most 1,000 rows.
RETAINED_INTENT_COUNT = 200


class OrderLedger:
    """In-memory copy of a shard's intents.

    The ledger records since when an intent has been open. The time starts
    once the sender of the order has certainly stopped sending, also for open
    intents that this process took over from another holder.
    """

    def __init__(
        self, shard: ids.ShardName, intents: Iterable[OrderIntent] = ()
    ) -> None:
        self._shard = shard
        self._intents = {intent.number: intent for intent in intents}
        self._next_number = max(self._intents, default=0) + 1
        self._open_since_s: dict[int, float] = {}

    def plan_start(
        self,
        service: ids.ServiceName,
        availability_zone: ids.AvailabilityZone,
        fencing_number: ids.FencingNumber,
    ) -> OrderIntent:
        """Return a new intent to start an endpoint."""
        return OrderIntent(
            number=self._allocate_number(),
            shard=self._shard,
            fencing_number=fencing_number,
            service=service,
            availability_zone=availability_zone,
            action=OrderAction.START,
            state=IntentState.OPEN,
        )

    def plan_stop(
        self, endpoint: OrderedEndpoint, fencing_number: ids.FencingNumber
    ) -> OrderIntent:
        """Return a new intent to drain and then stop an endpoint."""
        return OrderIntent(
            number=self._allocate_number(),
            shard=self._shard,
            fencing_number=fencing_number,
            service=endpoint.service,
            availability_zone=endpoint.availability_zone,
            action=OrderAction.STOP,
            state=IntentState.DRAINING,
            endpoint_id=endpoint.endpoint_id,
        )

    def put(self, intent: OrderIntent, now_s: float) -> None:
        """Store an intent that is new or has changed its state.

        :param now_s: monotonic time; an open intent's age counts from it.
        """
        self._intents[intent.number] = intent
        if intent.state is IntentState.OPEN:
            self._open_since_s[intent.number] = now_s
        else:
            self._open_since_s.pop(intent.number, None)

    def in_state(self, state: IntentState) -> list[OrderIntent]:
        """Return the intents in a state, oldest first."""
        return [
            intent
            for _, intent in sorted(self._intents.items())
            if intent.state is state
        ]

    def leaving(self) -> set[ids.EndpointId]:
        """Return the endpoints that have a stop that was not cancelled.

        An endpoint whose stop may have been sent never returns to routing,
        even if the stop was abandoned, because a delayed copy of the order
        could still stop it.
        """
        return {
            intent.endpoint_id
            for intent in self._intents.values()
            if intent.endpoint_id is not None
            and intent.state is not IntentState.CANCELLED
        }

    def stop_may_be_sent(self, endpoint_id: ids.EndpointId) -> bool:
        """Return whether a stop of an endpoint may have been sent."""
        return any(
            intent.endpoint_id == endpoint_id
            and intent.state
            not in (IntentState.DRAINING, IntentState.CANCELLED)
            for intent in self._intents.values()
        )

    def stops_to_repeat(
        self, listing: Sequence[OrderedEndpoint]
    ) -> list[OrderedEndpoint]:
        """Return listed endpoints whose stop was refused or abandoned.

        Endpoints that have another stop that is pending or done are left out.
        """
        handled = {
            intent.endpoint_id
            for intent in self._intents.values()
            if not intent.is_settled or intent.state is IntentState.DONE
        }
        due = self.leaving() - handled
        return [
            endpoint for endpoint in listing if endpoint.endpoint_id in due
        ]

    def settle(
        self,
        listing: Sequence[OrderedEndpoint],
        now_s: float,
        settlement_s: float,
    ) -> list[OrderIntent]:
        """Return the open intents that are settled, in their final states.

        An intent is done if the platform's listing shows its effect. An order
        without a visible effect may still be in transit, so its intent is
        abandoned only after it has been open for the settlement time.

        :param listing: endpoints as the platform lists them.
        :param now_s: monotonic time.
        :param settlement_s: time after which an order without a visible
            effect is abandoned.
        """
        order_ids = {endpoint.order_id for endpoint in listing}
        endpoint_ids = {endpoint.endpoint_id for endpoint in listing}
        settled = []
        for intent in self.in_state(IntentState.OPEN):
            took_effect = (
                intent.order_id in order_ids
                if intent.action is OrderAction.START
                else intent.endpoint_id not in endpoint_ids
            )
            age_s = now_s - self._open_since_s.get(intent.number, now_s)
            if took_effect:
                settled.append(intent.with_state(IntentState.DONE, 'listed'))
            elif age_s >= settlement_s:
                settled.append(intent.with_state(IntentState.ABANDONED))
        return settled

    def remove_expired(self) -> list[OrderIntent]:
        """Remove and return the oldest settled intents over the limit."""
        settled = sorted(
            number
            for number, intent in self._intents.items()
            if intent.is_settled
        )
        expired = settled[: max(0, len(settled) - RETAINED_INTENT_COUNT)]
        return [self._intents.pop(number) for number in expired]

    def _allocate_number(self) -> int:
        number = self._next_number
        self._next_number += 1
        return number
