"""Starts under trouble, by the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import signal
import socket
import sys
import tomllib
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest

from tests.platform.platform_site import free_port

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.platform.platform_site import Site

DEPLOY_PATH = Path(__file__).parents[2] / 'deploy' / 'system.toml'
READY_TRY_COUNT = 160
END_TIMEOUT_S = 8.0
WAIT_S = 0.5


class Starter:
    """Starts one process of a site from a settings file.

    :ivar settings: settings that :meth:`write` writes.
    """

    def __init__(self, site: Site, folder: Path) -> None:
        self.settings = site.settings('node-1')
        self.path = folder / 'settings.json'
        self.log_path = folder / 'log'
        self.session = site.session
        self.process: asyncio.subprocess.Process | None = None

    def write(self) -> None:
        self.path.write_bytes(msgspec.json.encode(self.settings))

    async def start(
        self,
        prepare: Callable[[], None] | None = None,
        stdout: int | None = None,
    ) -> asyncio.subprocess.Process:
        """Start the command of the deploy file.

        :param prepare: called in the new process before the program.
        """
        deploy = tomllib.loads(DEPLOY_PATH.read_text(encoding='utf-8'))
        _, *words = shlex.split(deploy['roles']['entry']['run'])
        with self.log_path.open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
                env={**os.environ, 'DOGWOODPOST_BOOT': str(self.path)},
                stdout=log if stdout is None else stdout,
                stderr=log,
                preexec_fn=prepare,
            )
        return self.process

    async def is_ready(self) -> bool:
        address = self.settings['listen']['ready']
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(
                f'http://{address}/api/readyz'
            ) as response:
                return response.status == 200
        return False

    async def wait_ready(self) -> None:
        for _ in range(READY_TRY_COUNT):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(self.log_path.read_text(encoding='utf-8'))

    async def wait_logged(self, event: str) -> None:
        """Wait until the process has written an event to its log."""
        for _ in range(READY_TRY_COUNT):
            if event in self.log_path.read_text(encoding='utf-8'):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(self.log_path.read_text(encoding='utf-8'))

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@pytest.fixture
async def starter(site: Site, tmp_path: Path) -> AsyncIterator[Starter]:
    starter = Starter(site, tmp_path)
    starter.write()
    yield starter
    await starter.end()


@contextlib.contextmanager
def taken(settings: dict[str, Any], name: str) -> Any:
    """Hold an address of the settings during the block."""
    address = settings['listen'].get(name)
    if address is None:
        address = f'{settings["ip"]}:{settings["portRange"][0]}'
    host, _, port = address.rpartition(':')
    with socket.create_server((host, int(port))):
        yield


@pytest.mark.parametrize('name', ['front', 'ready', 'peer'])
async def test_process_waits_for_a_port_that_is_in_use(
    starter: Starter, name: str
) -> None:
    """Guards against a process that ends at each start until it is free."""
    starter.settings['ip'] = '127.0.0.1'
    starter.settings['portRange'] = [free_port(), 0]
    starter.write()
    with taken(starter.settings, name):
        process = await starter.start()
        await starter.wait_logged('address_not_available')
        await asyncio.sleep(WAIT_S)
        assert process.returncode is None
        assert name == 'ready' or not await starter.is_ready()
    await starter.wait_logged('address_bound')
    await starter.wait_ready()


async def test_stop_while_a_port_is_in_use_ends_the_process(
    starter: Starter,
) -> None:
    """Guards against a start that a stop signal does not end."""
    with taken(starter.settings, 'front'):
        process = await starter.start()
        await starter.wait_logged('address_not_available')
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(4.0):
            assert await process.wait() == 0


async def test_settings_file_may_be_written_during_the_start(
    starter: Starter,
) -> None:
    """Guards against a process that ends over half of a settings file."""
    whole = starter.path.read_bytes()
    starter.path.write_bytes(whole[: len(whole) // 2])
    process = await starter.start()
    await asyncio.sleep(0.9)
    starter.path.write_bytes(whole)
    await starter.wait_ready()
    assert process.returncode is None


async def test_settings_without_values_have_their_defaults(
    starter: Starter,
) -> None:
    """Guards against settings of other deployments that end the process."""
    starter.settings['limits'] = {'memoryMb': 232.5, 'cores': None}
    starter.settings['cloud'] = None
    starter.settings['bounds']['statusS'] = None
    starter.settings['portRange'] = None
    starter.settings['dataDir'] = None
    starter.write()
    await starter.start()
    await starter.wait_ready()


@pytest.mark.parametrize('listen', ['127.0.0.1', '127.0.0.1:x', ''])
async def test_malformed_address_is_a_clear_error(
    starter: Starter, listen: str
) -> None:
    """Guards against a traceback in place of the name of the file."""
    starter.settings['listen']['front'] = listen
    starter.write()
    process = await starter.start()
    async with asyncio.timeout(END_TIMEOUT_S):
        assert await process.wait() == 2
    log = starter.log_path.read_text(encoding='utf-8')
    assert str(starter.path) in log
    assert 'Traceback' not in log


def close_standard_descriptors() -> None:
    for descriptor in range(3):
        with contextlib.suppress(OSError):
            os.close(descriptor)


async def test_process_runs_with_closed_standard_descriptors(
    starter: Starter,
) -> None:
    """Guards against a start that ends for want of a place for its log."""
    await starter.start(close_standard_descriptors)
    await starter.wait_ready()


async def test_process_runs_while_nobody_reads_its_log(
    site: Site, starter: Starter
) -> None:
    """Guards against a process that a full or closed pipe blocks or ends."""
    reading, writing = os.pipe()
    await starter.start(stdout=writing)
    os.close(writing)
    await starter.wait_ready()
    front = starter.settings['listen']['front']

    async def fail() -> None:
        url = f'http://{front}/nowhere/{"x" * 4_000}'
        async with site.session.get(url) as response:
            assert response.status == 404

    for _ in range(60):
        await fail()
    os.close(reading)
    for _ in range(60):
        await fail()
    assert await starter.is_ready()


@pytest.mark.parametrize('delay_s', [0.0, 0.2, 0.35, 0.5, 0.8])
async def test_stop_signal_during_the_start_ends_the_process(
    starter: Starter, delay_s: float
) -> None:
    """Guards against a process that misses its stop, or fails with it."""
    process = await starter.start()
    await asyncio.sleep(delay_s)
    process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(5.0):
        assert await process.wait() in {0, -signal.SIGTERM}
    log = starter.log_path.read_text(encoding='utf-8')
    assert 'Traceback' not in log
    assert 'process_failed' not in log
