"""A site on loopback: store, endpoints, duty API, processes and clients."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import uuid
from collections import deque
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import yarl
from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.observability import LogBuffer
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.process import PlatformProcess
from dogwoodpost.platform.settings import ProcessSettings
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.process import running
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.site.duty_app import DutyApp
from dogwoodpost.standins.site.sampler_app import SamplerApp
from dogwoodpost.standins.site.store_app import StoreApp

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.batches import JobHead

HOST = 'site.example'
KEY = 'key-of-buyers'
ACCOUNT = 'buyers'
MODEL = 'model-a'
EVENT_COUNT = 6
REGIONS = {'zone-a': 'region-a', 'zone-b': 'region-b'}
_SIGHUP_INTERVAL_S = 0.05
_START_TIMEOUT_S = 10.0
_FIRST_PORT = 10_000
_END_PORT = 30_000
_chosen_ports: set[int] = set()


def free_port() -> int:
    """Return a port that no other test chooses and no client is given.

    A port below the kernel's range for outgoing connections stays free until
    the spawned process listens on it.
    """
    while True:
        port = random.randrange(_FIRST_PORT, _END_PORT)
        if port in _chosen_ports:
            continue
        _chosen_ports.add(port)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(('127.0.0.1', port))
            return port


class Node:
    """A process of the system that runs in the test's process."""

    def __init__(
        self, process: PlatformProcess, settings: dict[str, Any]
    ) -> None:
        self.process = process
        self.front = f'http://{settings["listen"]["front"]}'
        self.ready = f'http://{settings["listen"]["ready"]}'


class SpawnedNode:
    """A process of the system that runs in a process of its own."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        settings: dict[str, Any],
    ) -> None:
        self.process = process
        self.front = f'http://{settings["listen"]["front"]}'
        self.ready = f'http://{settings["listen"]["ready"]}'


class Site:
    """Stand-ins of the platform's services, and processes of the system."""

    def __init__(self, session: aiohttp.ClientSession, folder: Path) -> None:
        self.store = MemoryRowStore()
        self.store_app = StoreApp(self.store)
        self.duties = DutyApp()
        self.engines = [
            SamplerApp(
                f'engine-{number}',
                event_count=EVENT_COUNT,
                models=(MODEL,),
                faults=deque(),
            )
            for number in range(2)
        ]
        self.plain = SamplerApp('plain-0', faults=deque())
        self.session = session
        self._folder = folder
        self.grace_s = 4
        self.status_s: float | None = None
        # Memory of processes by their name; others don't state it.
        self.memory_mb: dict[str, float] = {}
        # Replaces the address of the stand-in of the duty API.
        self.duty_address = ''
        # Table of the settings of processes that start from now on.
        self.policy: dict[str, Any] = {}
        # Replaces the port of the next process for calls of others.
        self.peer_port = 0
        # Store addresses of single processes, in place of the common one.
        self.store_addresses: dict[str, str] = {}
        self._addresses: dict[str, str] = {}
        self._zones: dict[str, str] = {}

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        store = await stack.enter_async_context(_serve(self.store_app.app()))
        duties = await stack.enter_async_context(_serve(self.duties.app()))
        self._addresses = {'store': store, 'duties': duties}
        for endpoint, service in self.endpoints():
            address = await stack.enter_async_context(_serve(endpoint.app()))
            self._addresses[endpoint.endpoint_id] = address
            self.register(endpoint, service)
        self.configure(self.configuration(version=2))

    def endpoints(self) -> list[tuple[SamplerApp, str]]:
        engines = [(engine, 'engines') for engine in self.engines]
        return [*engines, (self.plain, 'plain')]

    def register(
        self,
        endpoint: SamplerApp,
        service: str,
        state: str = 'ready',
        zone: str | None = None,
    ) -> None:
        """Write an endpoint's entry; without a zone, it stays in its own."""
        zone = zone or self._zones.get(endpoint.endpoint_id, 'zone-a')
        self._zones[endpoint.endpoint_id] = zone
        address = self._addresses[endpoint.endpoint_id]
        entry = endpoint.entry(service, address, zone, state)
        self.put('servers', endpoint.endpoint_id, entry)

    def zone_of(self, endpoint: SamplerApp) -> str:
        return self._zones[endpoint.endpoint_id]

    def evacuate(self, zone: str, *, is_over: bool = False) -> None:
        self.put('op', f'evacuate/{zone}', None if is_over else b'{}')

    @property
    def store_address(self) -> str:
        return self._addresses['store']

    def address_of(self, endpoint: SamplerApp) -> str:
        return self._addresses[endpoint.endpoint_id]

    def move(self, endpoint: SamplerApp, service: str, address: str) -> None:
        self._addresses[endpoint.endpoint_id] = address
        self.register(endpoint, service)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.store.apply([], [RowWrite(RowKey(table, '', key), value)])

    def configure(self, configuration: dict[str, Any]) -> None:
        self.put('op', 'config', msgspec.json.encode(configuration))

    def name_version(self, version: int) -> None:
        value = msgspec.json.encode({'model': MODEL, 'version': version})
        self.put('op', f'version/{MODEL}', value)

    def configuration(self, version: int) -> dict[str, Any]:
        route = {
            'host': HOST,
            'timeoutMs': 3000,
            'maxAttempts': 3,
            'public': False,
            'priority': 2,
        }
        return {
            'version': version,
            'routes': [
                {
                    **route,
                    'name': 'safe',
                    'prefix': '/safe/',
                    'kind': 'safe',
                    'service': 'plain',
                },
                {
                    **route,
                    'name': 'unsafe',
                    'prefix': '/unsafe/',
                    'kind': 'unsafe',
                    'service': 'plain',
                },
                {
                    **route,
                    'name': 'score',
                    'prefix': '/score/',
                    'kind': 'safe',
                    'service': 'plain',
                    'public': True,
                },
                {
                    **route,
                    'name': 'stream',
                    'prefix': '/stream/',
                    'kind': 'streaming',
                    'service': 'engines',
                },
                {
                    **route,
                    'name': 'resumable',
                    'prefix': '/resumable/',
                    'kind': 'streaming',
                    'service': 'engines',
                    'resumable': True,
                },
                {
                    **route,
                    'name': 'jobs',
                    'prefix': '/jobs/',
                    'kind': 'rollout',
                    'service': 'engines',
                    'dueMs': 5000,
                    'queueTtlS': 20,
                },
            ],
            'services': [
                {'name': 'plain'},
                {'name': 'engines', 'engine': {'slots': 8}},
            ],
            'limits': {'maxBodyBytes': 4_000_000},
            'tenants': [{'name': ACCOUNT, 'apiKeys': [KEY]}],
        }

    def settings(self, name: str, zone: str = 'zone-a') -> dict[str, Any]:
        peer_port = self.peer_port or free_port()
        return {
            'node': name,
            'zone': zone,
            'region': REGIONS[zone],
            'zones': REGIONS,
            'ip': '127.0.0.1',
            'limits': {'memoryMb': self.memory_mb.get(name, 0.0)},
            'portRange': [peer_port, peer_port],
            'listen': {
                'front': f'127.0.0.1:{free_port()}',
                'ready': f'127.0.0.1:{free_port()}',
            },
            'platform': {
                'address': self.store_addresses.get(
                    name, self._addresses['store']
                )
            },
            'cloud': {
                'address': self.duty_address or self._addresses['duties'],
                'duties': ['usage', 'autoscale'],
            },
            'policy': self.policy,
            'bounds': {
                'leaseMs': 1500,
                'reportWindowS': 1,
                'graceS': self.grace_s,
                **(
                    {} if self.status_s is None else {'statusS': self.status_s}
                ),
                'coldOverage': 1.5,
            },
        }

    @contextlib.asynccontextmanager
    async def node(
        self, name: str, zone: str = 'zone-a'
    ) -> AsyncIterator[Node]:
        settings = self.settings(name, zone)
        process = PlatformProcess(
            msgspec.convert(settings, ProcessSettings),
            ProcessIdentity(
                process_id=ids.ProcessId(name),
                incarnation=ids.Incarnation(uuid.uuid4().hex),
                address='127.0.0.1',
            ),
            Metrics(),
            LogBuffer(1, lambda: None),
        )
        async with running(process):
            node = Node(process, settings)
            await self.wait_ready(node)
            yield node

    @contextlib.asynccontextmanager
    async def spawned(
        self, name: str, *, zone: str = 'zone-a', sighup_count: int = 0
    ) -> AsyncIterator[SpawnedNode]:
        """Start the system in its own process; kill it at the end.

        Another program may take a port between its choice and the start; the
        process is then started again with other ports.

        :param sighup_count: how often SIGHUP is sent while it starts.
        """
        node = await self._spawn(name, zone)
        try:
            await self._send_sighups(node, sighup_count)
            async with asyncio.timeout(_START_TIMEOUT_S):
                while await self._waits_for_a_port(name, node):
                    node = await self._spawn(name, zone)
                    await self._send_sighups(node, sighup_count)
            yield node
        finally:
            if node.process.returncode is None:
                node.process.kill()
                await node.process.wait()

    async def _send_sighups(self, node: SpawnedNode, count: int) -> None:
        if count:
            await _wait_until_sighup_survivable(node.process.pid)
        for _ in range(count):
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(_SIGHUP_INTERVAL_S)

    async def _waits_for_a_port(self, name: str, node: SpawnedNode) -> bool:
        """Return whether a process waits for a port; end it if so."""
        path = self._folder / f'{name}.log'
        while node.process.returncode is None:
            if await self._is_ready(node):
                return False
            if 'address_not_available' in path.read_text(encoding='utf-8'):
                node.process.kill()
                await node.process.wait()
                return True
            await asyncio.sleep(0.05)
        raise AssertionError(path.read_text(encoding='utf-8')[-2_000:])

    async def _spawn(self, name: str, zone: str) -> SpawnedNode:
        settings = self.settings(name, zone)
        path = self._folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(settings))
        with (self._folder / f'{name}.log').open('wb') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dogwoodpost.platform',
                env={**os.environ, 'DOGWOODPOST_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )
        return SpawnedNode(process, settings)

    async def wait_ready(self, node: Node | SpawnedNode) -> None:
        for _ in range(200):
            if await self._is_ready(node):
                return
            await asyncio.sleep(0.05)
        raise AssertionError('the process has not become ready')

    async def _is_ready(self, node: Node | SpawnedNode) -> bool:
        try:
            async with self.session.get(
                f'{node.ready}/api/readyz'
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def send(
        self,
        node: Node | SpawnedNode,
        path: str,
        *,
        method: str = 'POST',
        body: bytes = b'',
        request_id: str | None = None,
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        request_headers = {
            'Host': HOST,
            'X-Request-Id': request_id or uuid.uuid4().hex,
            'X-Deadline-Ms': '3000',
            **(headers or {}),
        }
        if key is not None:
            request_headers['Authorization'] = f'Bearer {key}'
        async with self.session.request(
            method,
            yarl.URL(node.front + path, encoded=True),
            data=body or None,
            headers=request_headers,
        ) as response:
            return (
                response.status,
                dict(response.headers),
                (await response.read()),
            )

    def job(self, item_count: int, min_version: int = 1) -> dict[str, Any]:
        return {
            'step': 1,
            'model': MODEL,
            'minVersion': min_version,
            'desired': 1,
            'requests': [
                {
                    'id': f'item-{number}-{uuid.uuid4().hex[:6]}',
                    'path': f'/jobs/1/{number}',
                    'headers': {'X-Model': MODEL, 'X-Length-Hint': '20'},
                    'body': b'prompt',
                    'tokens': 40,
                    'group': 'group-1',
                    'scorer': {
                        'id': f'score-{number}-{uuid.uuid4().hex[:6]}',
                        'host': HOST,
                        'path': f'/score/{number}',
                        'body': b'rate this',
                    },
                }
                for number in range(item_count)
            ],
        }

    async def submit(
        self, node: Node | SpawnedNode, job: dict[str, Any], job_id: str
    ) -> int:
        status, _, _ = await self.send(
            node,
            f'/jobs/{job_id}',
            body=msgspec.json.encode(job),
            request_id=job_id,
        )
        return status

    async def head(self, job_id: str) -> JobHead:
        """Return a job's head as the store has it."""
        page = await self.store.read(job_rows.HEAD_TABLE, job_id)
        return job_rows.decode_head(page.rows[0].value or b'')

    async def results(
        self,
        node: Node | SpawnedNode,
        job_id: str,
        count: int,
        timeout_s: float = 8.0,
    ) -> list[dict[str, Any]]:
        """Read results until ``count`` of them are listed."""
        results: list[dict[str, Any]] = []
        async with asyncio.timeout(timeout_s):
            while len(results) < count:
                status, _, body = await self.send(
                    node,
                    f'/api/lots/{job_id}?after={len(results)}',
                    method='GET',
                    headers={'X-Wait-Ms': '500'},
                )
                if status == 200:
                    page = msgspec.json.decode(body)
                    assert page['next'] == len(results) + len(page['results'])
                    results += page['results']
                else:
                    await asyncio.sleep(0.1)
        return results


async def _wait_until_sighup_survivable(pid: int) -> None:
    """Wait until a starting process no longer ends on SIGHUP."""
    for _ in range(1_000):
        if outlives_hangup(pid):
            return
        await asyncio.sleep(0.005)
    raise AssertionError('SIGHUP would still end the process')


def outlives_hangup(pid: int) -> bool:
    """Return whether a process ignores SIGHUP or handles it."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    mask = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
    return bool(mask & 1 << (signal.SIGHUP - 1))


@contextlib.asynccontextmanager
async def _serve(app: web.Application) -> AsyncIterator[str]:
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0][:2]
        yield f'{host}:{port}'
    finally:
        await runner.cleanup()
