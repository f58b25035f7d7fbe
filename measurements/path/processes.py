"""Starts processes of dogwoodpost on loopback and stops them."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    import aiohttp

SOURCE = Path(__file__).parent.parent.parent / 'src'
MODULE_COMMAND = (sys.executable, '-m', 'dogwoodpost')
REGION = 'minas'
AVAILABILITY_ZONE = 'minas-a'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
_POLL_S = 0.05


class ProcessFailedError(Exception):
    """A process ended early or did not start in time."""


class Process:
    """A child process whose output and log go to files."""

    def __init__(
        self, name: str, command: Sequence[str], folder: Path
    ) -> None:
        self.name = name
        self._output = folder / f'{name}.out'
        self._log = folder / f'{name}.log'
        environment = {**os.environ, 'PYTHONPATH': str(SOURCE)}
        with self._output.open('wb') as output, self._log.open('wb') as log:
            self._popen = subprocess.Popen(
                command,
                stdout=output,
                stderr=log,
                env=environment,
            )
        self.control = psutil.Process(self._popen.pid)

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return self._popen.poll()

    def output_lines(self) -> list[str]:
        """Return the complete lines of the standard output."""
        return self._output.read_text().splitlines()

    def log_event(self, event: str) -> dict[str, Any] | None:
        """Return the fields of the first log line with an event, or None."""
        for line in self._log.read_text().splitlines():
            if line.startswith('{'):
                fields: dict[str, Any] = json.loads(line)
                if fields.get('event') == event:
                    return fields
        return None

    def cpu_s(self) -> float:
        """Return the CPU time used so far in seconds."""
        times = self.control.cpu_times()
        return float(times.user + times.system)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process; return its exit code.

        :raises ProcessFailedError: the process runs after the time-out.
        """
        try:
            return await asyncio.to_thread(self._popen.wait, timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessFailedError(f'{self.name} is still running') from None

    async def stop(self) -> None:
        """Stop the process by SIGTERM, or by SIGKILL after 15 s."""
        if self.exit_code is not None:
            return
        self.control.resume()
        self._popen.terminate()
        try:
            await self.wait()
        except ProcessFailedError:
            self._popen.kill()
            self._popen.wait()

    def tail(self) -> str:
        """Return the end of the log."""
        return self._log.read_text()[-2_000:]


class ProcessSystem:
    """A platform of stand-ins, entries and agents."""

    def __init__(self, folder: Path, command: Sequence[str]) -> None:
        self._folder = folder
        self._command = command
        self._processes: list[Process] = []
        self._platform: dict[str, Any] = {}
        self.store_url = ''

    async def start_platform(self) -> None:
        """Start the stand-in of the stores, which all processes need."""
        _, self.store_url = await self.start_standin('store')
        self._platform = {
            'table_store_url': self.store_url,
            'object_store_url': self.store_url,
        }

    async def start_standin(
        self, system: str, name: str = ''
    ) -> tuple[Process, str]:
        """Start a stand-in; return it and its URL."""
        process = self._start(name or system, ['standin', system])
        async with _start_timeout(process.name, START_TIMEOUT_S):
            while not process.output_lines():
                await self._check(process)
        return process, process.output_lines()[0]

    async def start_entry(self, name: str, **settings: Any) -> Entry:
        """Start an entry and wait until it serves."""
        process = self._start_with_settings('entry', name, settings)
        async with _start_timeout(name, START_TIMEOUT_S):
            while (fields := process.log_event('entry started')) is None:
                await self._check(process)
        return Entry(process, fields['http_port'], fields['admin_port'])

    async def start_agent(
        self, name: str, service: str, url: str, **settings: Any
    ) -> Process:
        """Start an agent for one endpoint.

        Entries may learn of the agent only after this returns.
        """
        endpoint = {
            'endpoint_id': f'{name}-endpoint',
            'service': service,
            'url': url,
        }
        return self._start_with_settings(
            'agent', name, {'endpoints': [endpoint], **settings}
        )

    async def stop(self) -> None:
        """Stop all processes in reverse order of their start."""
        for process in reversed(self._processes):
            await process.stop()

    def _start_with_settings(
        self, role: str, name: str, settings: dict[str, Any]
    ) -> Process:
        path = self._folder / f'{name}.json'
        document = {
            'process_id': name,
            'host_id': f'host-{name}',
            'region': REGION,
            'availability_zone': AVAILABILITY_ZONE,
            'platform': self._platform,
            'log': {'json_output': True},
            'drain_timeout_s': 10.0,
            **settings,
        }
        path.write_text(json.dumps(document))
        return self._start(name, [role, str(path)])

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, [*self._command, *arguments], self._folder)
        self._processes.append(process)
        return process

    async def _check(self, process: Process) -> None:
        if process.exit_code is not None:
            raise ProcessFailedError(f'{process.name}: {process.tail()}')
        await asyncio.sleep(_POLL_S)


class Entry:
    """An entry process and its ports."""

    def __init__(
        self, process: Process, http_port: int, admin_port: int
    ) -> None:
        self.process = process
        self.url = f'http://127.0.0.1:{http_port}'
        self.admin_port = admin_port


@asynccontextmanager
async def process_system(
    command: Sequence[str] = MODULE_COMMAND,
) -> AsyncIterator[ProcessSystem]:
    """Provide a system whose processes are stopped after the block."""
    with tempfile.TemporaryDirectory(prefix='dogwoodpost-') as folder:
        system = ProcessSystem(Path(folder), command)
        try:
            await system.start_platform()
            yield system
        finally:
            await system.stop()


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, key: str, status: int = 200
) -> None:
    """Repeat a GET until its response has a status.

    :raises ProcessFailedError: no such response arrived within 30 s.
    """
    headers = {'Authorization': f'Bearer {key}'}
    async with _start_timeout(url, START_TIMEOUT_S):
        while True:
            async with session.get(url, headers=headers) as response:
                await response.read()
                if response.status == status:
                    return
            await asyncio.sleep(_POLL_S)


@asynccontextmanager
async def _start_timeout(
    subject: str, timeout_s: float
) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except TimeoutError:
        raise ProcessFailedError(
            f'{subject}: not ready within {timeout_s} s'
        ) from None
