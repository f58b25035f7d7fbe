"""Tests of usage from an entry's totals to a reported window."""

from __future__ import annotations

import asyncio
import random

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.usage import OPEN_WINDOWS_KEY
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.usage_reports import UsageFigures
from dogwoodpost.services.control.usage_reporter import UsageReporter
from dogwoodpost.services.entry.usage_totals import UsageTotals
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.memory_store import StoreFaults
from dogwoodpost.standins.usage_reports import DirectUsageReports
from dogwoodpost.standins.usage_reports import UsageReportsState
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.fakes.lease import DURATION_S
from tests.fakes.lease import FakeLease
from tests.fakes.lease import MARGIN_S

WINDOW_S = 60
ACCOUNT = ids.ClientAccountId('matting')


class World:
    """Entries and reporters around one store."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.store = MemoryTableStore()
        self.lease = FakeLease(self.store, self.clock)
        self.book = UsageReportsState()

    def entry(self, name: str) -> UsageTotals:
        return UsageTotals(
            host_id=ids.HostId(name),
            incarnation=ids.Incarnation('1'),
            window_s=WINDOW_S,
            store=self.store,
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
        )

    async def reporter(
        self, contact_since_s: float | None = None
    ) -> UsageReporter:
        guard = await self.lease.take()
        assert guard is not None
        self.guard = guard
        return UsageReporter(
            guard=guard,
            store=self.store,
            platform=DirectUsageReports(self.book),
            clock=self.clock,
            rng=random.Random(1),
            metrics=Metrics(),
            window_s=WINDOW_S,
            contact_since_s=(
                None if contact_since_s is None else lambda: contact_since_s
            ),
        )

    async def reporter_after_takeover(self) -> UsageReporter:
        await self.clock.advance(DURATION_S)
        return await self.reporter()

    async def run(self, reporter: UsageReporter, duration_s: int) -> None:
        for _ in range(duration_s):
            self.guard.renew()
            await reporter.run_once()
            await self.clock.advance(1.0)

    def reported(self, window: int) -> UsageFigures:
        report = self.book.by_window[ids.UsageWindow(window)]
        return report.figures.get(ACCOUNT, UsageFigures())


def record(entry: UsageTotals, tokens: int) -> None:
    entry.record(
        ACCOUNT, request_count=1, prompt_tokens=0, completion_tokens=tokens
    )


async def test_totals_of_all_entries_are_reported() -> None:
    """Guards against a reported window that lacks an entry's totals."""
    world = World()
    entries = [world.entry('a'), world.entry('b')]
    for number, entry in enumerate(entries):
        record(entry, 10 + number)
        await entry.flush()
        record(entry, 100)
        await entry.flush()
    await world.run(await world.reporter(), 80)
    figures = UsageFigures(request_count=4, completion_tokens=221)
    assert world.reported(0) == figures


async def test_late_totals_become_one_adjustment() -> None:
    """Guards against losing or repeating usage that missed its window."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    record(entry, 5)
    reporter = await world.reporter()
    await world.run(reporter, 80)
    world.store.faults.lost_response_count = 1
    with pytest.raises(Exception, match='lost'):
        await entry.flush()
    await entry.flush()
    await world.run(reporter, 60)
    assert world.reported(0) == UsageFigures(
        request_count=1, completion_tokens=10
    )
    assert world.reported(1) == UsageFigures(
        adjustment_request_count=1, adjustment_completion_tokens=5
    )


@pytest.mark.parametrize('fault', ['is_down', 'lost_response_count'])
async def test_successor_reports_the_frozen_figures(fault: str) -> None:
    """Guards against two different figures for one window."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    reporter = await world.reporter()
    await world.run(reporter, 70)
    setattr(world.book, fault, 1)
    with pytest.raises(PlatformError):
        await world.run(reporter, 10)
    world.book.is_down = False
    record(entry, 7)
    await entry.flush()
    await world.clock.advance(DURATION_S)
    await world.run(await world.reporter(), 60)
    assert world.book.contradicted_windows == set()
    assert world.reported(0).completion_tokens == 10
    assert world.reported(1).completion_tokens == 7


async def test_nothing_is_reported_after_the_lease_is_lost() -> None:
    """Guards against reports of a process that was paused for a takeover."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    reporter = await world.reporter()
    await reporter.run_once()
    await world.clock.advance(80.0)
    with pytest.raises(LeaseLostError):
        await reporter.run_once()
    assert world.book.received == []


async def test_graceful_stop_writes_everything() -> None:
    """Guards against usage that is lost at a planned stop."""
    world = World()
    entry = world.entry('a')
    await entry.start()
    record(entry, 10)
    await entry.stop()
    await world.run(await world.reporter(), 80)
    assert world.reported(0).completion_tokens == 10


async def test_nothing_is_frozen_after_a_takeover() -> None:
    """Guards against windows that a former lease holder closes."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    reporter = await world.reporter()
    await world.run(reporter, 74)
    slow = StoreFaults(world.clock)
    slow.latency_s = DURATION_S - MARGIN_S - 1.0
    world.store.faults = slow
    await world.clock.advance(1.0)
    world.guard.renew()
    run = asyncio.create_task(reporter.run_once())
    await world.clock.advance(slow.latency_s)
    rows = dict(world.store.rows)
    world.store.faults = StoreFaults()
    world.lease.free_at_s = 0.0
    await world.lease.take()
    await world.clock.advance(DURATION_S)
    with pytest.raises(LeaseLostError):
        await run
    assert world.store.rows[OPEN_WINDOWS_KEY] == rows[OPEN_WINDOWS_KEY]


async def test_lagging_clock_counts_in_the_first_open_window() -> None:
    """Guards against usage that is added to a closed window."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    await world.run(await world.reporter(), 80)
    record(entry, 1)
    await entry.flush()
    world.clock._wall_offset_s = -25.0
    record(entry, 7)
    await entry.flush()
    world.clock._wall_offset_s = 0.0
    await world.run(await world.reporter_after_takeover(), 60)
    assert world.reported(0).completion_tokens == 10
    assert world.reported(1) == UsageFigures(
        request_count=2, completion_tokens=8
    )


async def test_successor_with_long_contact_closes_at_once() -> None:
    """Guards against windows that are late after several lease takeovers.

    On trouble-2 of Pizarra, each of five holders within 20 s restarted the
    grace period, so that a window was reported too late.
    """
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    await world.clock.advance(WINDOW_S + 20.0)
    reporter = await world.reporter(contact_since_s=WINDOW_S)
    await world.run(reporter, 1)
    assert world.reported(0).completion_tokens == 10


async def test_successor_with_short_contact_waits() -> None:
    """Guards against a window that closes before all entries have written."""
    world = World()
    entry = world.entry('a')
    record(entry, 10)
    await entry.flush()
    await world.clock.advance(WINDOW_S + 20.0)
    reporter = await world.reporter(contact_since_s=WINDOW_S + 15.0)
    await world.run(reporter, 1)
    assert world.book.by_window == {}
