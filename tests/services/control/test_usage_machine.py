"""State machine test of usage under crashes, outages and lost responses."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from typing import TYPE_CHECKING

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.usage import decode_part
from dogwoodpost.core.usage import merge
from dogwoodpost.core.usage import part_prefix
from dogwoodpost.core.usage import window_at
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.clock import Clock
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.usage_reports import DirectUsageReports
from dogwoodpost.standins.usage_reports import UsageReportsState
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import FakeGuard
from tests.fakes.lease import FakeLease

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from dogwoodpost.core.usage import UsagePart
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Write
    from dogwoodpost.ports.usage_reports import UsageFigures

WINDOW_S = 60
ACCOUNT = ids.ClientAccountId('matting')
# Error of the wall clock of each entry's host, in seconds.
SKEWS_S = {'a': 0.0, 'b': -25.0}
ENTRIES = st.sampled_from(sorted(SKEWS_S))
REPORTERS = st.sampled_from(['r', 's'])


def tokens(figures: Iterable[UsageFigures]) -> int:
    return sum(
        item.completion_tokens + item.adjustment_completion_tokens
        for item in figures
    )


class SkewedClock(Clock):
    """Clock of a host whose wall clock is off."""

    def __init__(self, clock: VirtualClock, skew_s: float) -> None:
        self._clock = clock
        self._skew_s = skew_s

    def monotonic_s(self) -> float:
        return self._clock.monotonic_s()

    def wall_s(self) -> float:
        return self._clock.wall_s() + self._skew_s

    async def sleep(self, duration_s: float) -> None:
        await self._clock.sleep(duration_s)


class RecordingStore(MemoryTableStore):
    """Store that records the last part of each key and can delay commits."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__(StoreFaults(clock))
        self._clock = clock
        self.delays_next = False
        self.late_commits: list[asyncio.Task[None]] = []
        self.parts: dict[str, UsagePart] = {}

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        if self.delays_next:
            self.delays_next = False
            late = self._commit_late(operation_id, checks, writes)
            self.late_commits.append(asyncio.create_task(late))
            raise StoreOutcomeUnknownError('timed out')
        return await super().commit(operation_id, checks, writes)

    async def _commit_late(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> None:
        await self._clock.sleep(7.0)
        with contextlib.suppress(DogwoodpostError):
            await super().commit(operation_id, checks, writes)

    def _apply(self, writes: Sequence[Write]) -> dict[str, int]:
        for write in writes:
            if write.key.startswith('usage/part/') and write.value:
                part = decode_part(write.value)
                self.parts[write.key] = part
        return super()._apply(writes)

    def written(self, prefix: str) -> list[UsagePart]:
        return [
            part for key, part in self.parts.items() if key.startswith(prefix)
        ]

    def written_tokens(self, incarnation: str) -> int:
        return tokens(
            figures
            for key, part in self.parts.items()
            if key.endswith(f'/{incarnation}')
            for figures in part.figures.values()
        )


class UsageMachine(stateful.RuleBasedStateMachine):
    """Two entries and two processes that may report."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = VirtualClock(wall_offset_s=600.0)
        self.store = RecordingStore(self.clock)
        self.lease = FakeLease(self.store, self.clock)
        self.book = UsageReportsState()
        self.incarnation_count = 0
        self.entries: dict[str, UsageTotals] = {}
        self.incarnations: dict[str, str] = {}
        self.recorded: Counter[str] = Counter()
        self.confirmed: Counter[str] = Counter()
        self.crashed: set[str] = set()
        self.recorded_by_window: Counter[int] = Counter()
        self.reporters: dict[str, UsageReporter] = {}
        self.guards: dict[str, FakeGuard] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.violations: list[str] = []

    def run(self, slot: str, work: Awaitable[object]) -> None:
        async def guarded() -> None:
            try:
                await work
            except LeaseLostError:
                self.reporters.pop(slot, None)
            except DogwoodpostError:
                pass
            except Exception as error:
                self.violations.append(repr(error))

        self.tasks[slot] = self.loop.create_task(guarded())
        self.loop.run_until_complete(self.clock.settle())

    def is_idle(self, slot: str) -> bool:
        return slot not in self.tasks or self.tasks[slot].done()

    def entry(self, slot: str) -> UsageTotals:
        if slot not in self.entries:
            self.incarnation_count += 1
            self.incarnations[slot] = str(self.incarnation_count)
            self.entries[slot] = UsageTotals(
                host_id=ids.HostId(slot),
                incarnation=ids.Incarnation(self.incarnations[slot]),
                window_s=WINDOW_S,
                store=self.store,
                clock=SkewedClock(self.clock, SKEWS_S[slot]),
                rng=random.Random(1),
                metrics=Metrics(),
            )
        return self.entries[slot]

    @stateful.rule(slot=ENTRIES, count=st.integers(1, 9))
    def record(self, slot: str, count: int) -> None:
        entry = self.entry(slot)
        entry.record(
            ACCOUNT, request_count=1, prompt_tokens=0, completion_tokens=count
        )
        self.recorded[self.incarnations[slot]] += count
        wall_s = self.clock.wall_s() + SKEWS_S[slot]
        # An entry whose clock lags counts in the first window that it knows
        # to be open.
        window = max(window_at(wall_s, WINDOW_S), entry._ledger._first_open)
        self.recorded_by_window[window] += count

    @stateful.rule(slot=ENTRIES, is_delayed=st.booleans())
    def flush(self, slot: str, is_delayed: bool = False) -> None:
        if self.is_idle(slot) and slot in self.entries:
            self.store.delays_next = is_delayed
            self.run(slot, self.flush_and_confirm(slot))

    async def flush_and_confirm(self, slot: str) -> None:
        incarnation = self.incarnations[slot]
        recorded = self.recorded[incarnation]
        outstanding = self.entries[slot]._pending_flush
        await self.entries[slot].flush()
        if outstanding is None:
            self.confirmed[incarnation] = recorded

    @stateful.rule(slot=ENTRIES)
    def crash(self, slot: str) -> None:
        self.cancel(slot)
        if self.entries.pop(slot, None) is not None:
            self.crashed.add(self.incarnations[slot])

    @stateful.rule(slot=REPORTERS, is_delayed=st.booleans())
    def report(self, slot: str, is_delayed: bool = False) -> None:
        if not self.is_idle(slot):
            return
        if slot not in self.reporters:
            self.take_over(slot)
        if slot in self.reporters:
            self.guards[slot].renew()
            self.store.delays_next = is_delayed
            self.run(slot, self.reporters[slot].run_once())

    def take_over(self, slot: str) -> None:
        # The lease has its own tests, so no fault applies to its write.
        faults = self.store.faults
        self.store.faults = StoreFaults()
        self.store.delays_next = False
        guard = self.loop.run_until_complete(self.lease.take())
        self.store.faults = faults
        if guard is None:
            return
        self.guards[slot] = guard
        self.reporters[slot] = UsageReporter(
            guard=guard,
            store=self.store,
            platform=DirectUsageReports(self.book),
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
            window_s=WINDOW_S,
        )

    @stateful.rule(slot=REPORTERS)
    def kill_reporter(self, slot: str) -> None:
        self.cancel(slot)
        self.reporters.pop(slot, None)

    def cancel(self, slot: str) -> None:
        task = self.tasks.pop(slot, None)
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                self.loop.run_until_complete(task)

    @stateful.rule(
        duration_s=st.sampled_from([2.0, 5.0, 30.0]), slot=REPORTERS
    )
    def advance(self, duration_s: float, slot: str) -> None:
        for _ in range(int(duration_s / 5.0) + 1):
            self.loop.run_until_complete(self.clock.advance(5.0))
            if slot in self.guards:
                self.guards[slot].renew()
                self.report(slot)

    @stateful.rule(
        is_down=st.booleans(),
        commits=st.sampled_from(['lost_request_count', 'lost_response_count']),
        latency_s=st.sampled_from([0, 0, 6]),
        reports=st.sampled_from(
            ['is_down', 'refused_count', 'lost_response_count']
        ),
    )
    def fail(
        self, is_down: bool, commits: str, latency_s: float, reports: str
    ) -> None:
        self.store.faults.down = is_down
        setattr(self.store.faults, commits, 1)
        self.store.faults.latency_s = latency_s
        setattr(self.book, reports, 1)

    @stateful.rule()
    def heal(self) -> None:
        self.store.faults.down = False
        self.store.faults.latency_s = 0
        self.book.is_down = False

    @stateful.invariant()
    def reports_match_written_parts(self) -> None:
        assert self.violations == []
        assert self.book.contradicted_windows == set()
        for window, report in self.book.by_window.items():
            parts = self.store.written(part_prefix(window))
            assert report.figures == merge(part.figures for part in parts)

    def teardown(self) -> None:
        try:
            self.finish()
            self.reports_match_written_parts()
            self.totals_are_complete()
        finally:
            for slot in 'abrs':
                self.cancel(slot)
            for task in self.store.late_commits:
                task.cancel()
            self.loop.close()

    def finish(self) -> None:
        self.heal()
        self.book.refused_count = 0
        for slot in SKEWS_S:
            self.advance(30.0, 's')
            self.flush(slot)
        for round_number in range(8):
            for slot in SKEWS_S:
                if round_number < 3:
                    # Makes each entry learn which windows were closed.
                    self.record(slot, 1)
                self.flush(slot)
            self.report('r')
            self.report('s')
            self.advance(30.0, 'r')
            self.advance(30.0, 's')

    def totals_are_complete(self) -> None:
        """Compare with what live entries counted and crashed ones wrote."""
        expected = 0
        for incarnation, recorded in self.recorded.items():
            written = self.store.written_tokens(incarnation)
            assert self.confirmed[incarnation] <= written <= recorded
            expected += written if incarnation in self.crashed else recorded
        reported = sum(
            tokens(report.figures.values())
            for report in self.book.by_window.values()
        )
        assert reported == expected
        for window, report in self.book.by_window.items():
            regular = sum(
                figures.completion_tokens
                for figures in report.figures.values()
            )
            assert regular <= self.recorded_by_window[window]


def test_usage_is_complete_and_never_contradicted() -> None:
    """Guards against usage that is lost, reported twice or changed."""
    stateful.run_state_machine_as_test(
        UsageMachine,
        settings=hypothesis.settings(max_examples=120, stateful_step_count=50),
    )


@pytest.mark.fuzz
def test_usage_is_complete_and_never_contradicted_long() -> None:
    """Guards against the same faults in longer random runs."""
    stateful.run_state_machine_as_test(
        UsageMachine,
        settings=hypothesis.settings(
            max_examples=1_500, stateful_step_count=120, deadline=None
        ),
    )
