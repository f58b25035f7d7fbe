"""State machine test of orders under pauses, takeovers and faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.orders import decode_intent
from dogwoodpost.core.orders import intent_prefix
from dogwoodpost.core.orders import IntentState
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.endpoint_orders import OrderAction
from dogwoodpost.services.control.order_controller import OrderController
from dogwoodpost.standins.endpoint_orders import DirectEndpointOrders
from dogwoodpost.standins.endpoint_orders import EndpointOrdersState
from dogwoodpost.standins.endpoint_orders import OrderRefusedError
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import FakeGuard
from tests.fakes.lease import FakeLease
from tests.fakes.lease import MARGIN_S

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core.orders import OrderIntent
    from dogwoodpost.ports.endpoint_orders import EndpointOrder
    from dogwoodpost.ports.table_store import Write

SHARD = ids.ShardName('orders/south/slate-lm')
SERVICE = ids.ServiceName('slate-lm')
ZONES = [ids.AvailabilityZone(name) for name in ('minas-a', 'colonia-a')]
SLOTS = st.sampled_from(['a', 'b'])


class Oracle(EndpointOrdersState):
    """Platform that checks each order against the table and the leases."""

    def __init__(self, machine: OrderMachine) -> None:
        super().__init__(machine.clock.monotonic_s, start_up_s=3.0)
        self._machine = machine
        self._last_fencing_number = 0
        self.violations: list[str] = []
        self.is_late = False

    def apply(self, order: EndpointOrder) -> None:
        intent = self._machine.intents().get(order.order_id)
        if intent is None or intent.state is not IntentState.OPEN:
            self.violations.append(f'no open intent: {order}')
        else:
            self._check_order_of_holders(intent)
        if order.order_id in {known.order_id for known in self.received}:
            self.violations.append(f'repeated: {order}')
        if order.action is OrderAction.STOP:
            if order.endpoint_id not in self._machine.drained:
                self.violations.append(f'not drained: {order}')
        super().apply(order)

    def _check_order_of_holders(self, intent: OrderIntent) -> None:
        number = intent.fencing_number
        if number < self._last_fencing_number:
            self.violations.append(f'older holder: {intent}')
        self._last_fencing_number = number
        held_numbers = self._machine.held_numbers()
        if held_numbers != {number} and not (
            self.is_late and not held_numbers
        ):
            self.violations.append(f'another holder {held_numbers}: {intent}')
        for other in self._machine.intents().values():
            if (
                other.state is IntentState.OPEN
                and other.fencing_number < number
            ):
                self.violations.append(f'unsettled {other}: {intent}')


class CheckedStore(MemoryTableStore):
    """Store that reports intents which a former lease holder writes."""

    def __init__(self, faults: StoreFaults) -> None:
        super().__init__(faults)
        self.violations: list[str] = []

    def _apply(self, writes: Sequence[Write]) -> dict[str, int]:
        fence = self.rows.get('lease/shard/fence')
        for write in writes:
            if write.key.startswith(intent_prefix(SHARD)) and write.value:
                intent = decode_intent(write.value)
                if write.key not in self.rows and (
                    fence is None or int(fence.value) != intent.fencing_number
                ):
                    self.violations.append(f'old fence: {intent}')
        return super()._apply(writes)


class SlowOrders(DirectEndpointOrders):
    """Client that can be paused before it sends, or deliver an order late."""

    def __init__(self, oracle: Oracle, clock: VirtualClock) -> None:
        super().__init__(oracle)
        self._oracle = oracle
        self._clock = clock
        self.gate = asyncio.Event()
        self.gate.set()
        self.delays_next = False
        self.late_deliveries: list[asyncio.Task[None]] = []

    async def connect(self) -> None:
        await super().connect()
        await self.gate.wait()

    async def submit(
        self,
        order: EndpointOrder,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        if not self.delays_next or before_send is None:
            await super().submit(order, before_send=before_send)
            return
        await self.connect()
        self.delays_next = False
        before_send()
        self.late_deliveries.append(asyncio.create_task(self._deliver(order)))
        raise PlatformOutcomeUnknownError('timed out')

    async def _deliver(self, order: EndpointOrder) -> None:
        await self._clock.sleep(MARGIN_S - 0.5)
        self._oracle.is_late = True
        with contextlib.suppress(OrderRefusedError):
            self._oracle.apply(order)
        self._oracle.is_late = False


class OrderMachine(stateful.RuleBasedStateMachine):
    """Two processes that compete for one shard."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = VirtualClock()
        self.store = CheckedStore(StoreFaults(self.clock))
        self.lease = FakeLease(self.store, self.clock)
        self.guards: dict[int, FakeGuard] = {}
        self.oracle = Oracle(self)
        self.drained: set[ids.EndpointId] = set()
        self.drain_fails = False
        self.controllers: dict[str, OrderController] = {}
        self.slot_guards: dict[str, FakeGuard] = {}
        self.clients = {
            slot: SlowOrders(self.oracle, self.clock) for slot in 'ab'
        }
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def intents(self) -> dict[ids.OperationId, OrderIntent]:
        decoded = [
            decode_intent(row.value)
            for row in self.store.rows.values()
            if row.key.startswith(intent_prefix(SHARD))
        ]
        return {intent.order_id: intent for intent in decoded}

    def held_numbers(self) -> set[int]:
        return {
            number for number, guard in self.guards.items() if guard.is_held
        }

    async def drain(self, endpoint_id: ids.EndpointId) -> None:
        await self.clock.sleep(2.0)
        if self.drain_fails:
            raise EndpointError('not confirmed')
        self.drained.add(endpoint_id)

    async def resume(self, endpoint_id: ids.EndpointId) -> None:
        for intent in self.intents().values():
            if (
                intent.endpoint_id == endpoint_id
                and intent.state is not IntentState.DRAINING
                and intent.state is not IntentState.CANCELLED
            ):
                self.oracle.violations.append(f'resumed: {intent}')
        self.drained.discard(endpoint_id)

    def run(self, slot: str, work: Awaitable[object]) -> None:
        async def guarded() -> None:
            try:
                await work
            except LeaseLostError:
                await self.controllers[slot].close()
                del self.controllers[slot]
            except DogwoodpostError:
                pass
            except Exception as error:
                self.oracle.violations.append(repr(error))

        self.tasks[slot] = self.loop.create_task(guarded())
        self.loop.run_until_complete(self.clock.settle())

    def is_idle(self, slot: str) -> bool:
        task = self.tasks.get(slot)
        return slot in self.controllers and (task is None or task.done())

    def take_over(self, slot: str) -> None:
        # The lease has its own tests, so no fault applies to its write.
        faults = self.store.faults
        self.store.faults = StoreFaults()
        guard = self.loop.run_until_complete(self.lease.take())
        self.store.faults = faults
        if guard is None:
            return
        self.guards[guard.fencing_number()] = guard
        self.slot_guards[slot] = guard
        controller = OrderController(
            shard=SHARD,
            service=SERVICE,
            guard=guard,
            store=self.store,
            platform=self.clients[slot],
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
            drain=self.drain,
            resume=self.resume,
        )
        self.controllers[slot] = controller
        self.run(slot, controller.take_over())

    @stateful.rule(
        slot=SLOTS,
        action=st.sampled_from(['start', 'stop', 'reconcile']),
        count=st.integers(1, 2),
        is_held_up=st.booleans(),
        is_delayed=st.booleans(),
    )
    def work(
        self,
        slot: str,
        action: str,
        count: int = 1,
        is_held_up: bool = False,
        is_delayed: bool = False,
    ) -> None:
        if slot not in self.controllers:
            self.take_over(slot)
        if not self.is_idle(slot):
            return
        self.clients[slot].delays_next = is_delayed
        if is_held_up:
            self.clients[slot].gate.clear()
        controller = self.controllers[slot]
        if action == 'start':
            self.run(slot, controller.start(ZONES[:count]))
        elif action == 'stop':
            listing = self.oracle.endpoints(SERVICE)[:count]
            self.run(slot, controller.stop(listing))
        else:
            self.run(slot, controller.reconcile())

    @stateful.rule(slot=SLOTS)
    def renew(self, slot: str) -> None:
        if slot in self.controllers:
            self.slot_guards[slot].renew()

    @stateful.rule(slot=SLOTS)
    def go_on(self, slot: str) -> None:
        self.clients[slot].gate.set()
        self.loop.run_until_complete(self.clock.settle())

    @stateful.rule(duration_s=st.sampled_from([1.0, 4.0, 10.0, 16.0]))
    def advance(self, duration_s: float) -> None:
        self.loop.run_until_complete(self.clock.advance(duration_s))

    @stateful.rule(slot=SLOTS)
    def die(self, slot: str) -> None:
        task = self.tasks.pop(slot, None)
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                self.loop.run_until_complete(task)
        controller = self.controllers.pop(slot, None)
        if controller is not None:
            self.loop.run_until_complete(controller.close())

    @stateful.rule(
        orders=st.sampled_from(['refused_count', 'lost_response_count']),
        commits=st.sampled_from(['lost_request_count', 'lost_response_count']),
    )
    def lose_calls(self, orders: str, commits: str) -> None:
        setattr(self.oracle, orders, 1)
        setattr(self.store.faults, commits, 1)

    @stateful.rule(
        is_down=st.booleans(),
        latency_s=st.sampled_from([0, 0, 9]),
        drain_fails=st.booleans(),
    )
    def change_services(
        self, is_down: bool, latency_s: float, drain_fails: bool
    ) -> None:
        self.oracle.is_down = is_down
        self.store.faults.latency_s = latency_s
        self.drain_fails = drain_fails

    @stateful.invariant()
    def platform_saw_nothing_wrong(self) -> None:
        assert self.oracle.violations == []
        assert self.store.violations == []

    def teardown(self) -> None:
        try:
            self.heal()
            self.platform_saw_nothing_wrong()
            for intent in self.intents().values():
                self.check_settled(intent)
        finally:
            for slot in 'ab':
                self.die(slot)
            self.loop.close()

    def heal(self) -> None:
        self.change_services(False, 0, False)
        self.oracle.refused_count = 0
        for slot in 'ab':
            self.go_on(slot)
            self.die(slot)
        self.advance(16.0)
        for _ in range(12):
            self.work('a', 'reconcile')
            self.advance(4.0)
            self.renew('a')

    def check_settled(self, intent: OrderIntent) -> None:
        assert intent.is_settled, intent
        received = {order.order_id for order in self.oracle.received}
        if intent.state is IntentState.REFUSED:
            assert intent.order_id not in received
        if intent.state is IntentState.DONE:
            listed = {
                endpoint.endpoint_id
                for endpoint in self.oracle.endpoints(SERVICE)
            }
            assert intent.order_id in received or (
                intent.endpoint_id is not None
                and intent.endpoint_id not in listed
            )


def test_orders_have_one_sender_and_one_effect() -> None:
    """Guards against two senders, duplicates and unsettled orders."""
    stateful.run_state_machine_as_test(
        OrderMachine,
        settings=hypothesis.settings(max_examples=200, stateful_step_count=60),
    )


@pytest.mark.fuzz
def test_orders_have_one_sender_and_one_effect_long() -> None:
    """Guards against the same faults in longer random runs."""
    stateful.run_state_machine_as_test(
        OrderMachine,
        settings=hypothesis.settings(
            max_examples=2_000, stateful_step_count=120, deadline=None
        ),
    )
