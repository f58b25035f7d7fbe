"""Usage windows under a store outage and the death of a reporter."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.leases import LeaseTerms
from dogwoodpost.core.usage import window_at
from dogwoodpost.core.usage import window_end_s
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import StoreError
from dogwoodpost.observability import Metrics
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.usage_reports import DirectUsageReports
from dogwoodpost.standins.usage_reports import UsageReportsState
from dogwoodpost.standins.virtual_clock import VirtualClock
from measurements.control.workers import open_workers

if TYPE_CHECKING:
    from dogwoodpost.ports.usage_reports import UsageFigures
    from dogwoodpost.ports.usage_reports import UsageReport

WINDOW_S = 60
ENTRY_COUNT = 20
# Enough for takeovers; lease managers tick four times a second each.
CANDIDATE_COUNT = 3
DURATION_S = 2400
OUTAGE_START_S = 615
OUTAGE_S = 600
# One second before the reporter would report a window.
DEATH_S = 1514
DEATH_IN_OUTAGE_S = 900
STEP_S = 1.0
# What remains is reported after the recording has ended.
RUN_OUT_S = 240
ACCOUNTS = [ids.ClientAccountId(f'account-{n}') for n in range(8)]
USAGE_SHARD = ids.ShardName('usage')


class UsageResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one case."""

    case: str
    window_count: int
    wrong_window_count: int
    contradicted_window_count: int
    adjusted_window_count: int
    missing_window_count: int
    longest_delay_s: float
    allowed_delay_s: float
    late_window_count: int
    recorded_tokens: int
    lost_at_crash_tokens: int
    store_writes_per_s: float
    store_reads_per_s: float

    @property
    def is_met(self) -> bool:
        """Return whether no window is wrong, missing or late."""
        return not (
            self.wrong_window_count
            or self.contradicted_window_count
            or self.missing_window_count
            or self.late_window_count
        )


class _TimedBook(UsageReportsState):
    """Notes when each window was first reported."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock
        self.reported_at_s: dict[int, float] = {}

    def record(self, report: UsageReport) -> None:
        """Record a report."""
        now_s = self._clock.wall_s()
        self.reported_at_s.setdefault(report.window, now_s)
        super().record(report)


class _Entry:
    """One entry process: its totals, its leases and its control work."""

    def __init__(self, world: _World, number: int) -> None:
        self._world = world
        self.name = f'entry-{number}'
        self._is_candidate = number < CANDIDATE_COUNT
        rng = random.Random(number)
        self.totals = UsageTotals(
            host_id=ids.HostId(self.name),
            incarnation=ids.Incarnation('1'),
            window_s=WINDOW_S,
            store=world.store,
            clock=world.clock,
            rng=rng,
            metrics=world.metrics,
        )
        self.leases = LeaseManager(
            world.store,
            world.clock,
            rng,
            process_id=ids.ProcessId(self.name),
            incarnation=ids.Incarnation('1'),
            terms=LeaseTerms(),
            rank=lambda shard: number,
        )
        self.guard = self.leases.guard(USAGE_SHARD)
        self._rng = rng
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.totals.start()
        if not self._is_candidate:
            return
        await self.leases.start()
        self._task = asyncio.create_task(self._report())

    def kill(self) -> None:
        for service in (self.totals, self.leases):
            for task in list(service._futures):
                task.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _report(self) -> None:
        clock = self._world.clock
        while True:
            if self.guard.is_held():
                try:
                    await self._report_while_held()
                except LeaseLostError:
                    pass
            await clock.sleep(STEP_S)

    async def _report_while_held(self) -> None:
        reporter = UsageReporter(
            guard=self.guard,
            store=self._world.store,
            platform=DirectUsageReports(self._world.book),
            clock=self._world.clock,
            rng=self._rng,
            metrics=self._world.metrics,
            window_s=WINDOW_S,
        )
        while True:
            try:
                await reporter.run_once()
            except (StoreError, PlatformError):
                pass
            await self._world.clock.sleep(2.0)


class _World:
    """Entries, store and platform on one virtual clock."""

    def __init__(self) -> None:
        self.clock = VirtualClock(wall_offset_s=600_000.0)
        self.store = MemoryTableStore(StoreFaults())
        self.book = _TimedBook(self.clock)
        self.metrics = Metrics()
        self.recorded: dict[int, Counter[ids.ClientAccountId]] = {}
        self.lost: dict[int, Counter[ids.ClientAccountId]] = {}
        self.entries = [_Entry(self, number) for number in range(ENTRY_COUNT)]

    def record(self, rng: random.Random) -> None:
        """Record a second's usage at each entry."""
        window = window_at(self.clock.wall_s(), WINDOW_S)
        totals = self.recorded.setdefault(window, Counter())
        for entry in self.entries:
            account = rng.choice(ACCOUNTS)
            tokens = rng.randint(1, 4000)
            entry.totals.record(
                account,
                request_count=1,
                prompt_tokens=0,
                completion_tokens=tokens,
            )
            totals[account] += tokens

    def crash_reporter(self) -> None:
        """End the process that holds the lease, or else the first one."""
        holders = [entry for entry in self.entries if entry.guard.is_held()]
        entry = (holders or self.entries)[0]
        for window, unwritten in entry.totals.unwritten_by_window.items():
            self.lost[window] = Counter(
                {account: _tokens(item) for account, item in unwritten.items()}
            )
        entry.kill()
        self.entries.remove(entry)


def _tokens(figures: UsageFigures) -> int:
    return figures.completion_tokens + figures.adjustment_completion_tokens


async def _run(
    case: str, *, has_outage: bool, death_s: int | None
) -> UsageResult:
    world = _World()
    rng = random.Random(7)
    for entry in world.entries:
        await entry.start()
    for second in range(DURATION_S + RUN_OUT_S):
        if second < DURATION_S:
            world.record(rng)
        in_outage = OUTAGE_START_S <= second < OUTAGE_START_S + OUTAGE_S
        world.store.faults.down = has_outage and in_outage
        if second == death_s:
            world.crash_reporter()
        await world.clock.advance(STEP_S)
    for entry in world.entries:
        entry.kill()
    await world.clock.settle()
    delay_s = WINDOW_S + (OUTAGE_S if has_outage else 0)
    return _result(case, world, float(delay_s))


def _result(case: str, world: _World, allowed_delay_s: float) -> UsageResult:
    delays = {
        window: world.book.reported_at_s[window]
        - window_end_s(ids.UsageWindow(window), WINDOW_S)
        for window in world.recorded
        if window in world.book.reported_at_s
    }
    duration_s = DURATION_S + RUN_OUT_S
    return UsageResult(
        case=case,
        window_count=len(world.recorded),
        wrong_window_count=_count_wrong(world),
        contradicted_window_count=len(world.book.contradicted_windows),
        adjusted_window_count=sum(
            any(
                figures.adjustment_completion_tokens
                for figures in report.figures.values()
            )
            for report in world.book.by_window.values()
        ),
        missing_window_count=len(world.recorded) - len(delays),
        longest_delay_s=round(max(delays.values()), 1),
        allowed_delay_s=allowed_delay_s,
        late_window_count=sum(
            delay_s > allowed_delay_s for delay_s in delays.values()
        ),
        recorded_tokens=sum(
            sum(totals.values()) for totals in world.recorded.values()
        ),
        lost_at_crash_tokens=sum(
            sum(lost.values()) for lost in world.lost.values()
        ),
        store_writes_per_s=round(world.store.write_count / duration_s, 2),
        store_reads_per_s=round(world.store.read_count / duration_s, 2),
    )


def _count_wrong(world: _World) -> int:
    """Count windows that differ from what was recorded in them.

    What a crashed process had not written is missing from the windows that
    it was recorded in, and is reported on its own.
    """
    wrong = 0
    for window, recorded in world.recorded.items():
        report = world.book.by_window.get(ids.UsageWindow(window))
        if report is None:
            continue
        expected = recorded - world.lost.get(window, Counter())
        reported = Counter(
            {
                account: _tokens(figures)
                for account, figures in report.figures.items()
            }
        )
        wrong += reported != expected
    return wrong


def run_usage_cases() -> list[UsageResult]:
    """Return the results of all cases."""
    cases: list[tuple[str, bool, int | None]] = [
        ('no fault', False, None),
        ('store outage of 10 min', True, None),
        ('death of the reporter', False, DEATH_S),
        ('outage, then death', True, DEATH_S),
        ('death during the outage', True, DEATH_IN_OUTAGE_S),
    ]
    with open_workers(len(cases)) as executor:
        return list(executor.map(_run_case, cases))


def _run_case(case: tuple[str, bool, int | None]) -> UsageResult:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    name, has_outage, death_s = case
    return asyncio.run(_run(name, has_outage=has_outage, death_s=death_s))
