"""Batch jobs that a process forwards to the owner of their model."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.preferred_owner import preferred_owner
from dogwoodpost.platform.job_forwarding import FORWARDED_HEADER
from dogwoodpost.platform.job_forwarding import HttpJobForwardingClient
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.ports.job_forwarding import JobSubmission
from dogwoodpost.services.batches import job_rows
from dogwoodpost.standins.memory_row_store import RowFault
from tests.platform.loopback import loopback_server
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import HOST
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site

NAMES = ('node-1', 'node-2')
HEARTBEAT_READ_S = 1.2
SUBMISSION = JobSubmission(path='/jobs/1', headers=(), body=b'{}')


def owner_and_other() -> tuple[str, str]:
    """Return the names of the model's owner and of the other process."""
    shares = {ids.ProcessId(name): 1.0 for name in NAMES}
    owner = preferred_owner(f'{HOST}/{MODEL}', shares)
    other = next(name for name in NAMES if name != owner)
    assert owner is not None
    return owner, other


async def test_one_process_runs_the_jobs_of_a_model(site: Site) -> None:
    """Guards against owners that compete for the slots of one model."""
    owner, _ = owner_and_other()
    async with site.node('node-1') as first, site.node('node-2') as second:
        await asyncio.sleep(HEARTBEAT_READ_S)
        for number, node in enumerate((first, second, first, second)):
            job_id = f'job-{number}'
            assert await site.submit(node, site.job(2), job_id) == 202
            results = await site.results(node, job_id, 2)
            assert (await site.head(job_id)).owner_id == owner
            assert all(
                len(result['text'].splitlines()) == EVENT_COUNT
                for result in results
            )


async def test_forwarded_job_with_unknown_key_is_refused(site: Site) -> None:
    """Guards against processes that do not check the key of forwarded jobs."""
    async with site.node('node-1') as node:
        status, _, _ = await site.send(
            node,
            '/jobs/job-1',
            body=msgspec.json.encode(site.job(1)),
            request_id='job-1',
            key='unknown-key',
            headers={FORWARDED_HEADER: 'node-2'},
        )
    assert status == 401


async def test_job_is_accepted_soon_after_the_owner_is_killed(
    site: Site,
) -> None:
    """Guards against jobs that wait for a process that no longer runs."""
    owner, other = owner_and_other()
    async with site.node(other) as node:
        async with site.spawned(owner) as lost:
            await asyncio.sleep(HEARTBEAT_READ_S)
            lost.process.kill()
            await lost.process.wait()
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            assert await site.submit(node, site.job(2), 'job-1') == 202
            assert loop.time() - start_s < 0.6
            await site.results(node, 'job-1', 2)
    assert (await site.head('job-1')).owner_id == other


async def test_no_refusal_while_the_owner_may_still_accept(
    site: Site,
) -> None:
    """Guards against a refused job that the owner accepts later.

    The owner's response does not arrive in time, and the store then refuses
    the process that the client has called.
    """
    owner, other = owner_and_other()
    async with site.node(other) as node, site.node(owner):
        await asyncio.sleep(HEARTBEAT_READ_S)
        site.store.fault_table = job_rows.HEAD_TABLE
        site.store.faults.append(RowFault.ANSWER_SLOW)
        site.store.faults.extend([RowFault.UNAVAILABLE] * 200)
        status = await site.submit(node, site.job(1), 'job-1')
    assert status in {202, 502, 504}


async def _outcome(
    answer: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> ForwardOutcome:
    """Return the outcome at a process that responds by a callback."""
    async with (
        loopback_server(answer) as address,
        aiohttp.ClientSession() as session,
    ):
        client = HttpJobForwardingClient(session, 'node-1')
        return await client.submit(address, SUBMISSION)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        ('202 Accepted', ForwardOutcome.ACCEPTED),
        ('503 Service Unavailable', ForwardOutcome.NOT_ACCEPTED),
        ('404 Not Found', ForwardOutcome.NOT_ACCEPTED),
        ('504 Gateway Timeout', ForwardOutcome.UNKNOWN),
        ('500 Internal Server Error', ForwardOutcome.UNKNOWN),
        ('', ForwardOutcome.UNKNOWN),
        ('silent', ForwardOutcome.UNKNOWN),
    ],
)
async def test_outcome_follows_from_the_response(
    status: str, expected: ForwardOutcome
) -> None:
    """Guards against a lost response that counts as a refusal."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        if status == 'silent':
            await asyncio.sleep(1.0)
        elif status:
            writer.write(
                f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        writer.close()

    assert await _outcome(answer) is expected


async def test_unreachable_process_has_not_accepted_the_job() -> None:
    """Guards against an unknown outcome where nothing was sent."""
    async with aiohttp.ClientSession() as session:
        client = HttpJobForwardingClient(session, 'node-1')
        outcome = await client.submit('127.0.0.1:1', SUBMISSION)
    assert outcome is ForwardOutcome.NOT_ACCEPTED


async def test_repeats_at_both_processes_run_once(site: Site) -> None:
    """Guards against a job that both processes run after a lost response."""
    async with site.node('node-1') as first, site.node('node-2') as second:
        await asyncio.sleep(HEARTBEAT_READ_S)
        job = site.job(2)
        job_id = uuid.uuid4().hex
        statuses = await asyncio.gather(
            *(site.submit(node, job, job_id) for node in (first, second) * 2)
        )
        assert set(statuses) == {202}
        await site.results(first, job_id, 2)
    runs = [sum(engine.runs.values()) for engine in site.engines]
    assert sum(runs) == 2


async def test_leaving_owner_gets_no_jobs(site: Site) -> None:
    """Guards against jobs forwarded to a process that is being stopped."""
    owner, other = owner_and_other()

    async def submit(node: Node, job_id: str) -> str:
        assert await site.submit(node, site.job(1), job_id) == 202
        await site.results(node, job_id, 1)
        return (await site.head(job_id)).owner_id

    async with site.node(other) as node, site.node(owner) as leaving:
        await asyncio.sleep(HEARTBEAT_READ_S)
        assert await submit(node, 'job-1') == owner
        leaving.process._presence.is_leaving = True
        assert await submit(node, 'job-2') == other
