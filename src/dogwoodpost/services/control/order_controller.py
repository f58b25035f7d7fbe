"""Issues the endpoint orders of one shard under its lease."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.orders import decode_intent
from dogwoodpost.core.orders import encode_intent
from dogwoodpost.core.orders import intent_prefix
from dogwoodpost.core.orders import IntentState
from dogwoodpost.core.orders import OrderIntent
from dogwoodpost.core.orders import OrderLedger
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.services.resolved_commit import commit_until_resolved

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_orders import EndpointOrders
    from dogwoodpost.ports.endpoint_orders import OrderedEndpoint
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.table_store import TableStore

_log = structlog.get_logger()


class OrderController:
    """Orders endpoints while this process holds one shard's lease.

    A new controller is created each time the lease is acquired.

    :param drain: returns once an endpoint accepts no new requests from any
        entry and runs none; raises if the endpoint could not be drained.
    :param resume: lets an endpoint accept requests again.
    """

    # An order that the platform does not list is abandoned after this time,
    # which exceeds three call timeouts of 2 s and is well above the delay of
    # any packet that the network still delivers.
    settlement_s = 15.0
    # Orders that are written in one transaction and sent concurrently.
    batch_size = 32

    def __init__(
        self,
        *,
        shard: ids.ShardName,
        service: ids.ServiceName,
        guard: LeaseGuard,
        store: TableStore,
        platform: EndpointOrders,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        drain: Callable[[ids.EndpointId], Awaitable[None]],
        resume: Callable[[ids.EndpointId], Awaitable[None]],
    ) -> None:
        self._shard = shard
        self._service = service
        self._guard = guard
        self._store = store
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._drain = drain
        self._resume = resume
        self._fencing_number = guard.fencing_number()
        self._ledger = OrderLedger(shard)
        self._unwritten_intents: dict[int, OrderIntent] = {}
        self._drain_tasks: dict[int, asyncio.Task[None]] = {}
        self._commit_count = 0
        self._has_taken_over = False

    @property
    def accepts_orders(self) -> bool:
        """Return whether the takeover is done and no order is open."""
        return self._has_taken_over and not self._ledger.in_state(
            IntentState.OPEN
        )

    @property
    def leaving(self) -> set[ids.EndpointId]:
        """Return the endpoints to stop, which do not count as capacity."""
        return self._ledger.leaving()

    async def take_over(self) -> None:
        """Read the intents of the previous holder.

        Must be called once, before any other method.

        :raises StoreError: the store did not answer.
        """
        rows = await self._store.scan(intent_prefix(self._shard))
        self._ledger = OrderLedger(
            self._shard, [decode_intent(row.value) for row in rows]
        )
        now_s = self._clock.monotonic_s()
        for intent in self._ledger.in_state(IntentState.OPEN):
            self._ledger.put(intent, now_s)
        self._has_taken_over = True

    async def reconcile(self) -> Sequence[OrderedEndpoint]:
        """Settle open orders and advance stops by the platform's list.

        :returns: the endpoints that the platform lists.
        :raises LeaseLostError: the lease was lost; this controller must not
            be used again.
        :raises PlatformError: the platform did not answer.
        """
        self._assert_holder()
        listing = await self._platform.list_endpoints(self._service)
        now_s = self._clock.monotonic_s()
        settled = self._ledger.settle(listing, now_s, self.settlement_s)
        for intent in settled:
            self._count_event(f'order_{intent.state.value}_by_listing')
            self._record_state(intent)
        await self._write_results()
        await self._repeat_abandoned_stops(listing)
        await self._advance_stops()
        return listing

    async def start(
        self, zones: Sequence[ids.AvailabilityZone]
    ) -> set[ids.AvailabilityZone]:
        """Order one endpoint for each item of ``zones``.

        Stops early once the outcome of an order is unknown.

        :param zones: availability zones; one may occur several times.
        :returns: the availability zones where an order was refused.
        :raises LeaseLostError: the lease was lost.
        """
        refusing: set[ids.AvailabilityZone] = set()
        for first in range(0, len(zones), self.batch_size):
            if not self.accepts_orders:
                break
            intents = [
                self._ledger.plan_start(
                    self._service, zone, self._fencing_number
                )
                for zone in zones[first : first + self.batch_size]
            ]
            await self._persist(intents)
            results = await self._send(intents)
            refusing.update(
                intent.availability_zone
                for intent in results
                if intent.state is IntentState.REFUSED
            )
        return refusing

    async def stop(self, endpoints: Sequence[OrderedEndpoint]) -> None:
        """Start to drain endpoints; each is ordered to stop once drained.

        :raises LeaseLostError: the lease was lost.
        """
        leaving = self._ledger.leaving()
        intents = [
            self._ledger.plan_stop(endpoint, self._fencing_number)
            for endpoint in endpoints
            if endpoint.endpoint_id not in leaving
        ]
        if intents:
            await self._persist(intents)
            self._start_drains()

    async def close(self) -> None:
        """Cancel running drains; the next lease holder starts them again."""
        drains = list(self._drain_tasks.values())
        for drain in drains:
            drain.cancel()
        await asyncio.gather(*drains, return_exceptions=True)
        self._drain_tasks.clear()

    async def _persist(
        self, intents: Sequence[OrderIntent], *, is_new: bool = True
    ) -> None:
        """Write intents to the table, then record them in the ledger."""
        await self._commit(intents, is_new=is_new)
        for intent in intents:
            self._ledger.put(intent, self._clock.monotonic_s())

    async def _send(self, intents: Sequence[OrderIntent]) -> list[OrderIntent]:
        """Send orders concurrently; return the intents in their new states.

        An intent whose order has an unknown outcome stays open.
        """
        results = await asyncio.gather(
            *(self._submit(intent) for intent in intents),
            return_exceptions=True,
        )
        sent = [item for item in results if isinstance(item, OrderIntent)]
        for intent in sent:
            self._record_state(intent)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        await self._write_results()
        return sent

    async def _submit(self, intent: OrderIntent) -> OrderIntent:
        """Send one order; return the intent in its new state."""
        try:
            await self._platform.submit(
                intent.order(), before_send=self._assert_holder
            )
        except PlatformOutcomeUnknownError as error:
            self._count_event('order_outcome_unknown')
            _log.warning(
                'order_outcome_unknown',
                order_id=intent.order_id,
                error=str(error),
            )
            return intent
        except PlatformError as error:
            self._count_event('order_refused')
            _log.warning(
                'order_refused', order_id=intent.order_id, error=str(error)
            )
            return intent.with_state(IntentState.REFUSED, str(error))
        self._report_late_send(intent)
        self._count_event(f'order_{intent.action.value}')
        return intent.with_state(IntentState.DONE)

    def _report_late_send(self, intent: OrderIntent) -> None:
        """Count an order that was answered after the lease was lost.

        Its sender may have been paused between the lease check and the send.
        A client cannot prevent this at an interface that checks no fencing
        number; see docs/endpoint-orders.md.
        """
        try:
            self._assert_holder()
        except LeaseLostError:
            self._count_event('order_answered_after_lease_lost')
            _log.error(
                'order_answered_after_lease_lost', order_id=intent.order_id
            )

    def _assert_holder(self) -> None:
        """Raise unless the lease is held under the same fencing number.

        A lease that was lost and acquired again has a new fencing number.

        :raises LeaseLostError: the lease was lost.
        """
        if self._guard.fencing_number() != self._fencing_number:
            raise LeaseLostError(
                f'lease {self._shard}: fencing number'
                f' {self._fencing_number} is no longer valid'
            )

    async def _repeat_abandoned_stops(
        self, listing: Sequence[OrderedEndpoint]
    ) -> None:
        """Plan new stops for endpoints whose stop was refused or abandoned.

        A new order has a new number. It names its endpoint, so stopping the
        endpoint twice has the same effect as stopping it once.
        """
        intents = [
            self._ledger.plan_stop(endpoint, self._fencing_number)
            for endpoint in self._ledger.stops_to_repeat(listing)
        ]
        if intents:
            await self._persist(intents)

    async def _advance_stops(self) -> None:
        """Stop drained endpoints; cancel stops whose drain has failed."""
        self._start_drains()
        if not self.accepts_orders:
            return
        drained: list[OrderIntent] = []
        for intent in self._ledger.in_state(IntentState.DRAINING):
            task = self._drain_tasks[intent.number]
            if not task.done():
                continue
            del self._drain_tasks[intent.number]
            error = task.exception()
            if isinstance(error, LeaseLostError):
                raise error
            if error is None:
                drained.append(intent.opened_by(self._fencing_number))
            else:
                self._cancel_stop(intent, str(error))
        await self._write_results()
        for first in range(0, len(drained), self.batch_size):
            if not self.accepts_orders:
                return
            batch = drained[first : first + self.batch_size]
            await self._persist(batch, is_new=False)
            await self._send(batch)

    def _cancel_stop(self, intent: OrderIntent, detail: str) -> None:
        self._count_event('order_stop_cancelled')
        _log.warning(
            'order_stop_cancelled',
            endpoint_id=intent.endpoint_id,
            detail=detail,
        )
        self._record_state(intent.with_state(IntentState.CANCELLED, detail))

    def _start_drains(self) -> None:
        for intent in self._ledger.in_state(IntentState.DRAINING):
            if intent.number not in self._drain_tasks and intent.endpoint_id:
                self._drain_tasks[intent.number] = asyncio.create_task(
                    self._drain_endpoint(intent.endpoint_id)
                )

    async def _drain_endpoint(self, endpoint_id: ids.EndpointId) -> None:
        """Drain an endpoint; if that fails, resume it and raise.

        The intent stays ``DRAINING`` until this is done, so that a successor
        repeats what this process leaves unfinished. An endpoint whose stop
        may have been sent is not resumed.
        """
        try:
            await self._drain(endpoint_id)
        except Exception:
            if not self._ledger.stop_may_be_sent(endpoint_id):
                await self._resume(endpoint_id)
            raise

    def _record_state(self, intent: OrderIntent) -> None:
        """Record a new state in the ledger and keep it for the next write."""
        self._ledger.put(intent, self._clock.monotonic_s())
        self._unwritten_intents[intent.number] = intent

    async def _write_results(self) -> None:
        """Write new states and delete rows past retention in one commit."""
        if not self._unwritten_intents:
            return
        intents = list(self._unwritten_intents.values())
        await self._commit(
            intents, is_new=False, expired=self._ledger.remove_expired()
        )
        for intent in intents:
            if self._unwritten_intents.get(intent.number) is intent:
                del self._unwritten_intents[intent.number]

    async def _commit(
        self,
        intents: Sequence[OrderIntent],
        *,
        is_new: bool,
        expired: Sequence[OrderIntent] = (),
    ) -> None:
        """Write intents in a transaction that fails after a takeover.

        :raises LeaseLostError: the lease was lost.
        """
        fence = self._guard.fence_check()
        checks = [fence]
        if is_new:
            checks += [Check(intent.key, 0) for intent in intents]
        writes = [
            Write(intent.key, encode_intent(intent)) for intent in intents
        ]
        writes += [Write(intent.key, None) for intent in expired]
        try:
            await commit_until_resolved(
                self._store,
                self._operation_id(),
                checks,
                writes,
                clock=self._clock,
                rng=self._rng,
                before_attempt=self._assert_holder,
            )
        except StoreConflictError as error:
            raise LeaseLostError(
                f'lease {self._shard}: a transaction failed its checks:'
                f' {error}'
            ) from error

    def _operation_id(self) -> ids.OperationId:
        self._commit_count += 1
        return ids.OperationId(
            f'{self._shard}/{self._fencing_number}/{self._commit_count}'
        )

    def _count_event(self, name: str) -> None:
        self._metrics.events.labels(name).inc()
