"""Measures how long a change takes to be in force, and its cost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.ports.host_list import HostState
from dogwoodpost.ports.host_list import ListedHost
from dogwoodpost.standins.virtual_time import run_virtual
from measurements.control.fleet import create_account
from measurements.control.fleet import Fleet
from measurements.control.percentiles import percentile

if TYPE_CHECKING:
    from measurements.control.fleet import Entry

SEED = 1
# Targets by number of processes. All processes are entries, which is the
# worst case, because agents get what they need with heartbeats.
TARGETS_S = {8: 5.0, 100: 5.0, 340: 9.0}
CHANGE_COUNTS = {8: 40, 100: 10, 340: 5}
CHANGE_PAUSE_S = 1.0
SLOW_STORE_LATENCY_S = 1.0
# The design page plans 20 entries for the target size, and 8,300 changes a
# day.
TARGET_ENTRY_COUNT = 20
TARGET_HOST_COUNT = 340
TARGET_CHANGE_INTERVAL_S = 86_400 / 8_300
TRAFFIC_S = 300.0
BYTES_TARGET_PER_S = 3_000.0
# Estimated size of the HTTP/1.1 headers of one call in both directions.
HEADER_BYTES = 400
# How long a failed host stays on the host list.
HOST_LIST_LAG_S = 30.0


class ConfigurationResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one case.

    Times are from the moment at which a change is durable to the report that
    it is in force everywhere.
    """

    case: str
    process_count: int
    change_count: int
    p50_s: float
    p99_s: float
    max_s: float
    store_reads_per_s: float
    store_writes_per_s: float
    bytes_per_node_per_s: float
    target_s: float | None = None
    target_bytes_per_s: float | None = None

    @property
    def met(self) -> bool:
        """Return whether the targets are met."""
        in_time = self.target_s is None or self.max_s <= self.target_s
        in_bytes = (
            self.target_bytes_per_s is None
            or self.bytes_per_node_per_s <= self.target_bytes_per_s
        )
        return in_time and in_bytes


class _TrafficMeter:
    """Measures the store calls and bytes of a fleet since its creation."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._start = self._totals()

    def rates(self) -> tuple[float, float, float]:
        """Return reads/s, writes/s and bytes per node and second."""
        now = self._totals()
        time_s, reads, writes, size = (
            after - before
            for before, after in zip(self._start, now, strict=True)
        )
        bytes_count = size + (reads + writes) * HEADER_BYTES
        node_count = len(self._fleet.entries)
        return (
            reads / time_s,
            writes / time_s,
            bytes_count / time_s / node_count,
        )

    def _totals(self) -> tuple[float, float, float, float]:
        links = [entry.link for entry in self._fleet.entries]
        size = sum(link.byte_count for link in links)
        size += self._fleet.hosts.byte_count
        # Each message is sent by one node and received by another.
        size += 2 * sum(self._fleet.network.bytes_sent.values())
        return (
            asyncio.get_running_loop().time(),
            sum(link.read_count for link in links),
            sum(link.write_count for link in links),
            size,
        )


def run_configuration_cases() -> list[ConfigurationResult]:
    """Run all cases on virtual time with a fixed seed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    results: list[ConfigurationResult] = []
    for process_count in TARGETS_S:
        results += run_virtual(_run_size(process_count))
    results.append(run_virtual(_run_traffic()))
    return results


async def _run_size(process_count: int) -> list[ConfigurationResult]:
    fleet = Fleet(process_count, SEED)
    await fleet.start()
    await asyncio.sleep(5.0)
    results = [await _measure(fleet, 'no fault')]
    for entry in fleet.entries:
        entry.link.latency_s = SLOW_STORE_LATENCY_S
    results.append(await _measure(fleet, 'slow store'))
    for entry in fleet.entries:
        entry.link.latency_s = 0.005
    await asyncio.sleep(10.0)
    replacement = asyncio.ensure_future(_replace_host(fleet))
    results.append(await _measure(fleet, 'host replaced'))
    await replacement
    await fleet.stop()
    return results


async def _replace_host(fleet: Fleet) -> None:
    """Crash an entry and start another; update the host list after a lag."""
    await asyncio.sleep(CHANGE_PAUSE_S)
    failed = fleet.entries[-1]
    await failed.crash()
    fleet.entries.remove(failed)
    new = fleet.add('replacement')
    await new.start()
    await asyncio.sleep(HOST_LIST_LAG_S)
    fleet.hosts.listed.pop(failed.row.host_id)


async def _measure(fleet: Fleet, case: str) -> ConfigurationResult:
    meter = _TrafficMeter(fleet)
    durations_s = []
    for index in range(CHANGE_COUNTS[len(fleet.entries)]):
        entry = fleet.entries[index % 5]
        name = f'{case.replace(" ", "-")}-{index}'
        durations_s.append(await _time_change(entry, name))
        await asyncio.sleep(CHANGE_PAUSE_S * fleet.rng.uniform(0.5, 1.5))
    return _result(
        case,
        fleet,
        meter,
        durations_s,
        target_s=TARGETS_S[len(fleet.entries)],
    )


async def _time_change(entry: Entry, name: str) -> float:
    """Return the seconds from durable to reported in force.

    Both times are of the event loop, not of the clocks of the entries.
    """
    revision = ids.Revision(await entry.change(create_account(name), name))
    while True:
        if entry.service.spread(revision).in_force:
            break
        await asyncio.sleep(0.01)
    now_s = asyncio.get_running_loop().time()
    return now_s - entry.fleet.tables.durable_s[revision]


async def _run_traffic() -> ConfigurationResult:
    fleet = Fleet(TARGET_ENTRY_COUNT, SEED)
    for index in range(TARGET_HOST_COUNT):
        host = ListedHost(
            host_id=ids.HostId(f'host-{index}'),
            availability_zone=ids.AvailabilityZone('minas-a'),
            state=HostState.LIVE,
        )
        fleet.hosts.listed[host.host_id] = host
    await fleet.start()
    await asyncio.sleep(5.0)
    meter = _TrafficMeter(fleet)
    durations_s = []
    for index in range(int(TRAFFIC_S / TARGET_CHANGE_INTERVAL_S)):
        name = f'traffic-{index}'
        durations_s.append(await _time_change(fleet.entries[0], name))
        await asyncio.sleep(TARGET_CHANGE_INTERVAL_S - durations_s[-1])
    result = _result(
        'target change rate',
        fleet,
        meter,
        durations_s,
        target_s=TARGETS_S[340],
        target_bytes_per_s=BYTES_TARGET_PER_S,
    )
    await fleet.stop()
    return result


def _result(
    case: str,
    fleet: Fleet,
    meter: _TrafficMeter,
    durations_s: list[float],
    *,
    target_s: float,
    target_bytes_per_s: float | None = None,
) -> ConfigurationResult:
    reads_per_s, writes_per_s, bytes_per_s = meter.rates()
    return ConfigurationResult(
        case=case,
        process_count=len(fleet.entries),
        change_count=len(durations_s),
        p50_s=percentile(durations_s, 50),
        p99_s=percentile(durations_s, 99),
        max_s=max(durations_s),
        store_reads_per_s=reads_per_s,
        store_writes_per_s=writes_per_s,
        bytes_per_node_per_s=bytes_per_s,
        target_s=target_s,
        target_bytes_per_s=target_bytes_per_s,
    )
