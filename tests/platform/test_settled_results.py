"""Results that one process has shown are shown by all soon after."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.batches import JobState
from dogwoodpost.services.batches import job_rows
from tests.fakes.site import eventually
from tests.platform.feed_gate import FeedGate
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import Node

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Site

SETTLE_S = 1.0
MARGIN_S = 0.02
EVENT_GAP_S = 0.3
JOB = ids.JobId('job-1')
# Sorts after the job, so that its rows are read last.
LAST_JOB = ids.JobId('job-2')


def write_ended_head(site: Site, job_id: ids.JobId) -> None:
    """Change the table of heads, which completes the calls of its feed."""
    head = JobHead(
        owner_id=ids.ProcessId('gone'),
        owner_incarnation=ids.Incarnation('gone'),
        client_account_id=None,
        accepted_wall_s=time.time(),
        total_count=1,
        state=JobState.ENDED,
    )
    site.store.apply([], [job_rows.head_write(job_id, head)])


async def page(
    site: Site, node: Node, position: int, wait_ms: int = 0
) -> tuple[int, int]:
    """Return the status of a read and the number of results."""
    status, _, body = await site.send(
        node,
        f'/api/lots/{JOB}?after={position}',
        method='GET',
        headers={'X-Wait-Ms': str(wait_ms)} if wait_ms else {},
    )
    count = len(msgspec.json.decode(body)['results']) if status == 200 else 0
    return status, count


class RunningJob(msgspec.Struct, frozen=True):
    """A job of one item, and the processes that read it.

    :param other: process that does not own the job.
    :param gate: holds back the heads that the other process reads.
    :param expected_s: when the result is expected, in monotonic time.
    """

    owner: Node
    other: Node
    gate: FeedGate
    expected_s: float

    def knows(self, job_id: ids.JobId) -> bool:
        """Return whether the other process has a copy of a job's head."""
        directory = self.other.process._batches.directory
        return directory.get(job_id) is not None

    async def wait_for_first_result(self, site: Site) -> float:
        """Wait until a client reads the first result; return when it did."""
        while True:
            _, count = await page(site, self.owner, 0)
            if count:
                return time.monotonic()
            await asyncio.sleep(0.01)


@pytest.fixture
async def job(site: Site) -> AsyncIterator[RunningJob]:
    for engine in site.engines:
        engine.event_gap_s = EVENT_GAP_S
    async with site.node('node-1') as node_1, site.node('node-2') as node_2:
        await asyncio.sleep(0.8)
        assert await site.submit(node_1, site.job(1), JOB) == 202
        expected_s = time.monotonic() + EVENT_COUNT * EVENT_GAP_S
        head = await site.head(JOB)
        nodes = [node_1, node_2]
        if head.owner_id == 'node-2':
            nodes.reverse()
        owner, other = nodes
        gate = FeedGate(other, job_rows.HEAD_TABLE)
        job = RunningJob(owner, other, gate, expected_s)
        await eventually(lambda: job.knows(JOB))
        yield job


@pytest.mark.parametrize('fails', [False, True])
@pytest.mark.parametrize('wait_ms', [0, 300, 1_000])
@pytest.mark.parametrize('lead_s', [0.0, 0.15, 0.3])
async def test_result_is_shown_while_the_feed_is_late(
    site: Site, job: RunningJob, lead_s: float, wait_ms: int, fails: bool
) -> None:
    """Guards against a listed result that another process does not have.

    It answered from its copy of the head for 1.5 s after the last answer of
    the feed, though a result has to be shown everywhere 1 s after it was read.
    """
    job.gate.fails = fails
    # A last answer, so that the copy seems to be recent.
    await asyncio.sleep(job.expected_s - lead_s - 0.1 - time.monotonic())
    write_ended_head(site, LAST_JOB)
    await eventually(lambda: job.knows(LAST_JOB))
    job.gate.close()
    read_s = await job.wait_for_first_result(site)
    asked_s = read_s + SETTLE_S + MARGIN_S - wait_ms / 1_000
    await asyncio.sleep(max(asked_s - time.monotonic(), 0.0))
    assert await page(site, job.other, 0, wait_ms) == (200, 1)


async def test_result_is_shown_after_a_read_of_the_whole_table(
    site: Site, job: RunningJob
) -> None:
    """Guards against a copy of the heads that is older than it seems.

    After lost history, and at its start, a process reads the heads one by
    one, which takes seconds in a large deployment. At the end it took all of
    them for current.
    """
    write_ended_head(site, LAST_JOB)
    await eventually(lambda: job.knows(LAST_JOB))
    job.gate.lose_history(LAST_JOB)
    # Completes the pending call of the feed.
    write_ended_head(site, LAST_JOB)
    await job.gate.is_reading_table.wait()
    read_s = await job.wait_for_first_result(site)
    await asyncio.sleep(read_s + SETTLE_S + MARGIN_S - time.monotonic())
    job.gate.end_read()
    await asyncio.sleep(0.05)
    assert await page(site, job.other, 0) == (200, 1)


async def test_slow_store_gives_no_false_answer(
    site: Site, job: RunningJob
) -> None:
    """Guards against an answer that was true when its read was sent."""
    job.gate.fails = True
    job.gate.read_delay_s = 0.7
    job.gate.close()
    assert await page(site, job.other, 0, wait_ms=800) == (503, 0)
    await job.wait_for_first_result(site)
    await asyncio.sleep(SETTLE_S)
    assert await page(site, job.other, 0) == (200, 1)
