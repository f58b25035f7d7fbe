"""Random histories of a lease, checked against a simple oracle.

The oracle assumes that each call under the lease takes as long as the longest
call. Calls of two processes must never overlap in true time.
"""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.leases import Lease
from dogwoodpost.core.leases import LeaseAction
from dogwoodpost.core.leases import LeaseOperation
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.standins.memory_store import MemoryTableStore

if TYPE_CHECKING:
    from collections.abc import Coroutine

TERMS = LeaseTerms(duration_s=4.0, longest_call_s=1.0, clock_rate_error=0.01)
SHARD = ids.ShardName('usage')
# Clock rates of the processes: the fastest, the slowest and an exact one.
RATES = (1.01, 0.99, 1.0)
STEPS_S = (0.01, 0.02, 0.1, 0.2)
PROCESSES = st.integers(0, len(RATES) - 1)


def finish(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that only yields control, without an event loop."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as result:
            return result.value


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three processes with different clock rates compete for one lease."""

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryTableStore()
        self.now_s = 0.0
        self.operation_count = 0
        self.reads: dict[int, Any] = {}
        self.sent: dict[int, LeaseOperation] = {}
        self.last_use_s = [float('-inf')] * len(RATES)
        self.numbers: dict[int, int] = {}
        self.leases = [self.new_lease(index) for index in range(len(RATES))]

    def new_lease(self, index: int) -> Lease:
        incarnation = ids.Incarnation(str(self.operation_count))
        process_id = ids.ProcessId(f'entry-{index}')
        return Lease(SHARD, process_id, incarnation, TERMS)

    def local_s(self, index: int) -> float:
        return 100.0 * index + self.now_s * RATES[index]

    def restart(self, index: int) -> None:
        self.operation_count += 1
        self.leases[index] = self.new_lease(index)
        self.sent.pop(index, None)
        self.reads.pop(index, None)

    @stateful.rule(
        seed=st.integers(0, 1_000_000),
        step_count=st.sampled_from([10, 60, 90]),
        cut_off=st.sets(PROCESSES, max_size=2),
        paused=st.sets(PROCESSES, max_size=2),
        loss=st.sampled_from([0.0, 0.3]),
    )
    def run(
        self,
        seed: int,
        step_count: int,
        cut_off: set[int],
        paused: set[int],
        loss: float,
    ) -> None:
        """Run the processes; some have no store access, some are paused."""
        rng = random.Random(seed)
        for _ in range(step_count):
            self.now_s += rng.choice(STEPS_S)
            self.use_everywhere(paused)
            for index in set(range(len(RATES))) - cut_off - paused:
                self.work(index, rng, loss)

    def work(self, index: int, rng: random.Random, loss: float) -> None:
        if rng.random() < 0.002:
            self.restart(index)
        if rng.random() < 0.7:
            self.begin_read(index)
        if rng.random() < 0.7:
            self.end_read(index)
        if rng.random() < 0.9:
            self.send(index, rng.random() < 0.02)
        if rng.random() < 0.7:
            self.apply(index, rng.random() < loss)

    def begin_read(self, index: int) -> None:
        if index not in self.sent and index not in self.reads:
            keys = self.leases[index].keys_to_read()
            self.reads[index] = finish(self.store.read(keys))

    def end_read(self, index: int) -> None:
        rows = self.reads.pop(index, None)
        if rows is not None:
            self.leases[index].observe(rows, self.local_s(index))

    def send(self, index: int, release: bool) -> None:
        if index in self.sent:
            return
        lease, now_s = self.leases[index], self.local_s(index)
        operation_id = ids.OperationId(str(self.operation_count))
        self.operation_count += 1
        self.reads.pop(index, None)
        if release and lease.may_release():
            lease.retire()
            if now_s >= lease.calls_end_s():
                operation = lease.renew(operation_id, now_s, release=True)
                self.sent[index] = operation
            return
        action = lease.next_action(now_s)
        if action is LeaseAction.ACQUIRE:
            self.sent[index] = lease.acquire(operation_id, now_s)
        elif action is LeaseAction.RENEW:
            self.sent[index] = lease.renew(operation_id, now_s)

    def apply(self, index: int, response_lost: bool) -> None:
        operation = self.sent.get(index)
        if operation is None:
            return
        call = self.store.commit(
            operation.operation_id, operation.checks, operation.writes
        )
        try:
            versions = finish(call)
        except StoreConflictError:
            versions = None
        if response_lost:
            return
        del self.sent[index]
        if versions is None:
            self.leases[index].record_conflict()
        else:
            self.leases[index].record_success(operation, versions)

    def use_everywhere(self, paused: set[int]) -> None:
        for index, lease in enumerate(self.leases):
            if index in paused:
                continue
            try:
                number = lease.begin_call(self.local_s(index))
            except LeaseLostError:
                continue
            self.check_use(index, number)

    def check_use(self, index: int, number: int) -> None:
        for other, last_use_s in enumerate(self.last_use_s):
            call_s = TERMS.longest_call_s / RATES[other]
            if other != index:
                assert self.now_s >= last_use_s + call_s - 1e-6
        # Only one process uses a fencing number, and a later holder has a
        # higher number.
        assert self.numbers.setdefault(number, index) == index
        assert number == max(self.numbers)
        self.last_use_s[index] = self.now_s


class FuzzLeaseMachine(LeaseMachine):
    """The same state machine, for longer runs."""


LeaseMachine.TestCase.settings = hypothesis.settings(stateful_step_count=40)
FuzzLeaseMachine.TestCase.settings = hypothesis.settings(
    max_examples=3_000, stateful_step_count=120
)


class TestLease(LeaseMachine.TestCase):
    """Guards against two processes acting for one shard."""


@pytest.mark.fuzz
class TestLeaseFuzz(FuzzLeaseMachine.TestCase):
    """Guards against two processes acting for one shard, in long histories."""
