"""Measures usage windows under a store outage and a reporter crash."""

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
# Three candidates suffice for takeovers. More would slow the simulation down,
# because each lease manager ticks four times per second.
CANDIDATE_COUNT = 3
DURATION_S = 2400
OUTAGE_START_S = 615
OUTAGE_S = 600
# One second before the reporter would report a window.
CRASH_AT_S = 1514
CRASH_IN_OUTAGE_AT_S = 900
STEP_S = 1.0
# Time after the end of the recording to report the remaining windows.
REPORTING_TAIL_S = 240
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


class _TimedUsageReports(UsageReportsState):
    """State that also records when each window was first reported."""

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
    """Usage totals, leases and usage reports of one entry process."""

    def __init__(self, simulation: _Simulation, number: int) -> None:
        self._simulation = simulation
        self.name = f'entry-{number}'
        self._is_candidate = number < CANDIDATE_COUNT
        rng = random.Random(number)
        self.totals = UsageTotals(
            host_id=ids.HostId(self.name),
            incarnation=ids.Incarnation('1'),
            window_s=WINDOW_S,
            store=simulation.store,
            clock=simulation.clock,
            rng=rng,
            metrics=simulation.metrics,
        )
        self.leases = LeaseManager(
            simulation.store,
            simulation.clock,
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
        clock = self._simulation.clock
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
            store=self._simulation.store,
            platform=DirectUsageReports(self._simulation.reports),
            clock=self._simulation.clock,
            rng=self._rng,
            metrics=self._simulation.metrics,
            window_s=WINDOW_S,
        )
        while True:
            try:
                await reporter.run_once()
            except (StoreError, PlatformError):
                pass
            await self._simulation.clock.sleep(2.0)


class _Simulation:
    """Entries, store and platform on one virtual clock."""

    def __init__(self) -> None:
        self.clock = VirtualClock(wall_offset_s=600_000.0)
        self.store = MemoryTableStore(StoreFaults())
        self.reports = _TimedUsageReports(self.clock)
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
        """Crash the lease holder, or the first entry if none holds it."""
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
    case: str, *, has_outage: bool, crash_at_s: int | None
) -> UsageResult:
    simulation = _Simulation()
    rng = random.Random(7)
    for entry in simulation.entries:
        await entry.start()
    for second in range(DURATION_S + REPORTING_TAIL_S):
        if second < DURATION_S:
            simulation.record(rng)
        in_outage = OUTAGE_START_S <= second < OUTAGE_START_S + OUTAGE_S
        simulation.store.faults.down = has_outage and in_outage
        if second == crash_at_s:
            simulation.crash_reporter()
        await simulation.clock.advance(STEP_S)
    for entry in simulation.entries:
        entry.kill()
    await simulation.clock.settle()
    delay_s = WINDOW_S + (OUTAGE_S if has_outage else 0)
    return _result(case, simulation, float(delay_s))


def _result(
    case: str, simulation: _Simulation, allowed_delay_s: float
) -> UsageResult:
    delays = {
        window: simulation.reports.reported_at_s[window]
        - window_end_s(ids.UsageWindow(window), WINDOW_S)
        for window in simulation.recorded
        if window in simulation.reports.reported_at_s
    }
    duration_s = DURATION_S + REPORTING_TAIL_S
    return UsageResult(
        case=case,
        window_count=len(simulation.recorded),
        wrong_window_count=_count_wrong(simulation),
        contradicted_window_count=len(simulation.reports.contradicted_windows),
        adjusted_window_count=sum(
            any(
                figures.adjustment_completion_tokens
                for figures in report.figures.values()
            )
            for report in simulation.reports.by_window.values()
        ),
        missing_window_count=len(simulation.recorded) - len(delays),
        longest_delay_s=round(max(delays.values()), 1),
        allowed_delay_s=allowed_delay_s,
        late_window_count=sum(
            delay_s > allowed_delay_s for delay_s in delays.values()
        ),
        recorded_tokens=sum(
            sum(totals.values()) for totals in simulation.recorded.values()
        ),
        lost_at_crash_tokens=sum(
            sum(lost.values()) for lost in simulation.lost.values()
        ),
        store_writes_per_s=round(simulation.store.write_count / duration_s, 2),
        store_reads_per_s=round(simulation.store.read_count / duration_s, 2),
    )


def _count_wrong(simulation: _Simulation) -> int:
    """Count windows that differ from what was recorded in them.

    Tokens that a crashed process had recorded but not written are missing from
    their windows. They are counted separately, as lost at the crash.
    """
    wrong_count = 0
    for window, recorded in simulation.recorded.items():
        report = simulation.reports.by_window.get(ids.UsageWindow(window))
        if report is None:
            continue
        expected = recorded - simulation.lost.get(window, Counter())
        reported = Counter(
            {
                account: _tokens(figures)
                for account, figures in report.figures.items()
            }
        )
        wrong_count += reported != expected
    return wrong_count


def run_usage_cases() -> list[UsageResult]:
    """Return the results of all cases."""
    cases: list[tuple[str, bool, int | None]] = [
        ('no fault', False, None),
        ('store outage of 10 min', True, None),
        ('death of the reporter', False, CRASH_AT_S),
        ('outage, then death', True, CRASH_AT_S),
        ('death during the outage', True, CRASH_IN_OUTAGE_AT_S),
    ]
    with open_workers(len(cases)) as executor:
        return list(executor.map(_run_case, cases))


def _run_case(case: tuple[str, bool, int | None]) -> UsageResult:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    name, has_outage, crash_at_s = case
    return asyncio.run(
        _run(name, has_outage=has_outage, crash_at_s=crash_at_s)
    )
