"""A small deployment on loopback addresses, for the scripts of this review.

Store, duty API and samplers are the project's own stand-ins; they run in the
process of the script. The system's processes are started with the command of
the deploy file, each as a process of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
import yarl
from aiohttp import web

from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.site.duty_app import DutyApp
from dogwoodpost.standins.site.sampler_app import SamplerApp
from dogwoodpost.standins.site.store_app import StoreApp

ROOT = Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
KEY = 'k3fexd9dnn2ctnfzs989a'
TENANT = 'hule930'
MODEL = 'daka510000'
ZONES = {'osborne-park': 'perth-metro', 'picton': 'south-west'}
HEARTBEAT_S = 1.2
# Bounds of the sheet of swanmat-ops.
BOUNDS = {
    'stableMs': 4000,
    'ackMs': 5000,
    'drainMs': 2500,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2500,
    'strictRevoke': False,
    'revokeMs': 5000,
    'fencingRequired': False,
    'leaseMs': 3000,
    'thawSlackMs': 300,
    'reportWindowS': 5,
    'usageLateS': 10,
    'statusS': 120,
    'cancelMs': 3000,
    'settleMs': 1000,
}
_chosen_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port below the range of outgoing connections."""
    for _ in range(500):
        port = random.randrange(10_000, 30_000)
        if port in _chosen_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        _chosen_ports.add(port)
        return port
    raise RuntimeError('no free port')


class TimedSampler(SamplerApp):
    """The project's stand-in, which also notes when requests arrived."""

    def __init__(self, endpoint_id: str, **settings: Any) -> None:
        super().__init__(endpoint_id, **settings)
        self.log: list[tuple[float, str, str]] = []

    async def _run(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get('X-Expect-Instance')
        if expected in {None, self.endpoint_id}:
            request_id = request.headers.get('X-Request-Id', '')
            self.log.append((time.monotonic(), request_id, request.raw_path))
        return await super()._run(request)


class Node:
    """A process of the system."""

    def __init__(self, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.settings = settings
        self.front = f'http://{settings["listen"]["front"]}'
        self.front_address = tuple(settings['listen']['front'].split(':'))
        self.ready = f'http://{settings["listen"]["ready"]}'
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0


class Site:
    """Stand-ins and processes; everything ends with :meth:`close`."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = MemoryRowStore()
        self.store_app = StoreApp(self.store)
        self.duties = DutyApp()
        self.samplers: dict[str, tuple[TimedSampler, str, str]] = {}
        self.addresses: dict[str, str] = {}
        self.nodes: list[Node] = []
        self.store_answer_s = 0.004
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )
        app = self.store_app.app()
        app.middlewares.append(self._delay())
        self.addresses['store'] = await self.serve(app)
        self.addresses['duties'] = await self.serve(self.duties.app())
        self._tasks.append(asyncio.create_task(self._heartbeats()))

    def _delay(self) -> Any:
        @web.middleware
        async def delay(request: web.Request, handler: Any) -> Any:
            response = await handler(request)
            await asyncio.sleep(self.store_answer_s)
            return response

        return delay

    def at_end(self, close: Any) -> None:
        """Await a function when everything ends."""
        self._stack.push_async_callback(close)

    async def serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        host, port = runner.addresses[0][:2]
        return f'{host}:{port}'

    async def add_sampler(
        self, sampler: TimedSampler, service: str, zone: str
    ) -> None:
        sampler.born_ms = int(time.time() * 1_000)
        address = await self.serve(sampler.app())
        self.addresses[sampler.endpoint_id] = address
        self.samplers[sampler.endpoint_id] = (sampler, service, zone)
        self.write_entry(sampler.endpoint_id)

    def write_entry(self, endpoint_id: str, state: str = 'ready') -> None:
        sampler, service, zone = self.samplers[endpoint_id]
        value = sampler.entry(
            service, self.addresses[endpoint_id], zone, state
        )
        self.put('servers', endpoint_id, value)

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for endpoint_id in list(self.samplers):
                self.write_entry(endpoint_id)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.store.apply([], [RowWrite(RowKey(table, '', key), value)])

    def configure(self, configuration: dict[str, Any]) -> None:
        self.put('op', 'config', json.dumps(configuration).encode())

    def settings(self, name: str, zone: str) -> dict[str, Any]:
        peer_port = free_port()
        return {
            'node': name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front'],
            'ip': '127.0.0.1',
            'zone': zone,
            'region': ZONES[zone],
            'zones': ZONES,
            'listen': {
                'front': f'127.0.0.1:{free_port()}',
                'ready': f'127.0.0.1:{free_port()}',
            },
            'portRange': [peer_port, peer_port],
            'limits': {'cpuShare': 0.717, 'cores': 3, 'memoryMb': 180},
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': self.addresses['store'],
                'form': 'table',
                'writesPerS': 800,
                'readsPerS': 2000,
                'txMs': 5.0,
            },
            'cloud': {
                'address': self.addresses['duties'],
                'duties': ['usage', 'autoscale'],
            },
        }

    async def start_node(self, name: str, zone: str = 'osborne-park') -> Node:
        node = Node(name, self.settings(name, zone))
        self.nodes.append(node)
        await self.spawn(node)
        return node

    async def spawn(self, node: Node) -> None:
        """Start a process, as at the first start and after its end."""
        path = self.folder / f'{node.name}.json'
        path.write_text(json.dumps(node.settings))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['entry']['run'])
        node.starts += 1
        with (self.folder / f'{node.name}.log').open('ab') as log:
            node.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'DOGWOODPOST_BOOT': str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, node: Node) -> bool:
        try:
            async with self.session.get(
                f'{node.ready}/api/readyz',
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_ready(self, node: Node, timeout_s: float = 15.0) -> None:
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready(node):
                self.record(f'{node.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f'{node.name} has not become ready')

    async def call(
        self,
        node: Node,
        method: str,
        path: str,
        *,
        request_id: str = '',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float = 12.0,
    ) -> tuple[int, bytes]:
        """Make a call on a new connection; status 0 means no answer."""
        all_headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            **({'X-Request-Id': request_id} if request_id else {}),
            **(headers or {}),
        }
        try:
            async with self.session.request(
                method,
                yarl.URL(node.front + path, encoded=True),
                data=body or None,
                headers=all_headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, repr(error).encode()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
                await node.process.wait()
        await self._stack.aclose()


class CouldNotRunError(Exception):
    """The case could not be run."""


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._start_s = time.monotonic()

    def __call__(self, line: str) -> None:
        text = f'{time.monotonic() - self._start_s:8.3f} {line}'
        self._file.write(text + '\n')
        self._file.flush()

    def at(self, monotonic_s: float) -> float:
        return monotonic_s - self._start_s


def has_trouble() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


def item_id(number: int) -> str:
    return f'{random.getrandbits(64):016x}'


def run_case(
    case_file: str,
    play: Any,
    limit_s: float = 110.0,
    prepare: Any = None,
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if not, else 2.

    :param play: takes the site; returns whether the rule was broken.
    :param prepare: takes the site before its stand-ins serve.
    """
    folder = Path(case_file).resolve().parent
    record = Record(folder / 'record.txt')

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix='review-') as temporary:
            site = Site(Path(temporary), record)
            record(f'TROUBLE={int(has_trouble())}')
            if prepare is not None:
                prepare(site)
            try:
                async with asyncio.timeout(limit_s):
                    await site.open()
                    is_broken = await play(site)
            except (CouldNotRunError, TimeoutError) as error:
                record(f'could not run: {error!r}')
                for node in site.nodes:
                    log = Path(temporary) / f'{node.name}.log'
                    if log.exists():
                        record(log.read_text(errors='replace')[-1500:])
                return 2
            finally:
                await site.close()
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for log in Path(temporary).glob('*.log'):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())
            record('the rule was broken' if is_broken else 'the rule held')
            return 1 if is_broken else 0

    sys.exit(asyncio.run(main()))
