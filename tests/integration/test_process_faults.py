"""Faults of real processes: kills, pauses, a store outage, a revocation."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest_asyncio

from dogwoodpost.demo.administrator import administrator
from dogwoodpost.demo.administrator import IssuedKey
from dogwoodpost.demo.local_system import PLAIN_SERVICE
from measurements.path.processes import Entry
from measurements.path.processes import Process
from measurements.path.processes import process_system
from measurements.path.processes import ProcessSystem
from measurements.path.processes import wait_for_status

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Cluster(msgspec.Struct, frozen=True, kw_only=True):
    """Two entries and one agent beside a plain service."""

    system: ProcessSystem
    session: aiohttp.ClientSession
    entries: tuple[Entry, Entry]
    agent: Process
    plain_url: str
    key: IssuedKey

    async def get(self, entry: Entry, path: str) -> tuple[int, dict[str, Any]]:
        headers = {'Authorization': f'Bearer {self.key.key}'}
        url = f'{entry.url}/bookings/{path}'
        async with self.session.get(url, headers=headers) as reply:
            return reply.status, msgspec.json.decode(await reply.read())

    async def execution_count(self) -> int:
        url = f'{self.plain_url}/control/counters'
        async with self.session.get(url) as reply:
            counters = msgspec.json.decode(await reply.read())
        count: int = counters['started_count']
        return count

    async def wait_until_running(self) -> None:
        url = f'{self.plain_url}/control/load'
        while True:
            async with self.session.get(url) as reply:
                load = msgspec.json.decode(await reply.read())
            if load['running_count']:
                return
            await asyncio.sleep(0.02)


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[Cluster]:
    async with (
        process_system() as system,
        aiohttp.ClientSession() as session,
    ):
        _, plain_url = await system.start_standin('plain')
        entries = (
            await system.start_entry('entry-1'),
            await system.start_entry('entry-2'),
        )
        agent = await system.start_agent('agent-1', PLAIN_SERVICE, plain_url)
        async with administrator(entries[0].admin_port) as admin:
            key = await admin.create_account('account-1')
            await admin.declare_services(['account-1'])
        for entry in entries:
            await wait_for_status(session, f'{entry.url}/bookings', key.key)
        yield Cluster(
            system=system,
            session=session,
            entries=entries,
            agent=agent,
            plain_url=plain_url,
            key=key,
        )


async def test_killed_agent_leaves_the_outcome_unknown(
    cluster: Cluster,
) -> None:
    """Guards against a false "not run" and against a second execution.

    The agent is killed while its endpoint executes the request.
    """
    before = await cluster.execution_count()
    request = asyncio.create_task(
        cluster.get(cluster.entries[0], 'slow/60000')
    )
    await cluster.wait_until_running()
    cluster.agent.control.kill()
    status, body = await request
    assert (status, body['error']['code']) == (502, 'outcome_unknown')
    assert body['error']['not_run'] is False
    assert await cluster.execution_count() == before + 1


async def test_paused_agent_finishes_its_response(cluster: Cluster) -> None:
    """Guards against a response that a short pause of the agent loses."""
    before = await cluster.execution_count()
    request = asyncio.create_task(cluster.get(cluster.entries[0], 'slow/500'))
    await cluster.wait_until_running()
    cluster.agent.control.suspend()
    await asyncio.sleep(2.0)
    cluster.agent.control.resume()
    status, body = await request
    assert (status, body['path']) == (200, '/bookings/slow/500')
    assert await cluster.execution_count() == before + 1


async def test_store_outage_keeps_requests_and_refuses_changes(
    cluster: Cluster,
) -> None:
    """Guards against requests that depend on a store that is down."""
    faults = f'{cluster.system.store_url}/standin/faults'
    async with cluster.session.post(faults, json={'down': True}):
        pass
    # 6 s in all: longer than the configuration stays fresh without the store.
    for _ in range(8):
        for entry in cluster.entries:
            status, _ = await cluster.get(entry, 'during-the-outage')
            assert status == 200
        await asyncio.sleep(0.75)
    async with cluster.session.post(faults, json={'down': False}):
        pass
    async with administrator(cluster.entries[1].admin_port) as admin:
        await admin.create_account('account-after')


async def test_revocation_is_in_force_at_the_other_entry(
    cluster: Cluster,
) -> None:
    """Guards against a revocation reported as in force too early."""
    async with administrator(cluster.entries[0].admin_port) as admin:
        result = await admin.revoke(cluster.key.key_id)
        await admin.wait_in_force(result.revision)
    for entry in cluster.entries:
        status, body = await cluster.get(entry, 'after')
        assert (status, body['error']['not_run']) == (401, True)
