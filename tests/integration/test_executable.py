"""The executable file that `make binary` builds."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import pytest

from dogwoodpost.demo.administrator import administrator
from dogwoodpost.demo.local_system import PLAIN_SERVICE
from measurements.path.processes import process_system
from measurements.path.processes import wait_for_status

if TYPE_CHECKING:
    from measurements.path.processes import Process

EXECUTABLE = Path(__file__).parents[2] / 'dist' / 'dogwoodpost'

pytestmark = pytest.mark.skipif(
    not EXECUTABLE.exists() and 'CI' not in os.environ,
    reason='run `make binary` first',
)


def children(process: Process) -> list[int]:
    return [child.pid for child in process.control.children(recursive=True)]


async def test_it_serves_without_children_and_stops_gracefully(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against child processes, and requests cut off by SIGTERM.

    Start-up code of the executable file may fork.
    """
    monkeypatch.setenv('PEX_ROOT', str(tmp_path / 'pex'))
    async with (
        process_system([str(EXECUTABLE)]) as system,
        aiohttp.ClientSession() as session,
    ):
        _, plain_url = await system.start_standin('plain')
        entry = await system.start_entry('entry-1')
        agent = await system.start_agent('agent-1', PLAIN_SERVICE, plain_url)
        async with administrator(entry.admin_port) as admin:
            key = (await admin.create_account('account-1')).key
            await admin.declare_services(['account-1'])
        url = f'{entry.url}/bookings'
        await wait_for_status(session, url, key)
        assert children(entry.process) == children(agent) == []
        headers = {'Authorization': f'Bearer {key}'}
        running = asyncio.create_task(
            session.get(f'{url}/slow/1500', headers=headers)
        )
        await asyncio.sleep(0.5)
        entry.process.control.terminate()
        assert (await running).status == 200
        assert await entry.process.wait() == 0
        agent.control.terminate()
        assert await agent.wait() == 0
