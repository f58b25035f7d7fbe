"""A site whose processes connect through fault proxies."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from tests.fakes.fault_proxy import FaultProxy
from tests.platform.platform_site import outlives_hangup
from tests.platform.platform_site import Site
from tests.platform.platform_site import SpawnedNode

if TYPE_CHECKING:
    import contextlib
    from pathlib import Path

    import aiohttp

    from dogwoodpost.standins.site.sampler_app import SamplerApp

_END_TIMEOUT_S = 10.0
SOAK_ZONES = ('zone-a', 'zone-b')
# The first two processes share a zone, so they pass jobs to each other.
_FIRST_ZONE_NODE_COUNT = 2
_POLICY = {
    'load_exchange': {'enabled': True, 'interval_ms': 50},
    'capacity_shares': {'enabled': True},
    'adaptive_moves': {'enabled': True},
    'scoring_limit': {'enabled': True, 'max_share': 0.5},
    'host_ownership': {'enabled': True},
    'hedging': {'extra_send_share': 0.2, 'min_delay_ms': 5},
}


class SoakNode:
    """A process of the system that can be stopped and restarted."""

    def __init__(
        self, name: str, settings: dict[str, Any], folder: Path
    ) -> None:
        self.name = name
        self.zone: str = settings['zone']
        self._settings = settings
        self._path = folder / f'{name}.json'
        self._log_path = folder / f'{name}.log'
        self._path.write_bytes(msgspec.json.encode(settings))
        self._process: asyncio.subprocess.Process | None = None
        self._state_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process unless it is running."""
        async with self._state_lock:
            if self._process is None:
                await self._start()

    async def end(self, signal_number: signal.Signals) -> None:
        """End the process by a signal, or by SIGKILL after 10 s."""
        async with self._state_lock:
            if self._process is not None:
                await self._end(self._process, signal_number)
                self._process = None

    async def _start(self) -> None:
        with self._log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'dogwoodpost.platform',
                env={**os.environ, 'DOGWOODPOST_BOOT': str(self._path)},
                stdout=log,
                stderr=log,
            )

    def address(self) -> SpawnedNode:
        """Return the running process with its settings."""
        assert self._process is not None
        return SpawnedNode(self._process, self._settings)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal; do nothing if the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    def hang_up(self) -> None:
        """Switch the policy on or off, as an operator may at any time.

        SIGHUP is not sent while the interpreter is still starting.
        """
        policy = {} if self._settings['policy'] else _POLICY
        self._settings['policy'] = policy
        self._path.write_bytes(msgspec.json.encode(self._settings))
        process = self._process
        if process is not None and process.returncode is None:
            if outlives_hangup(process.pid):
                self.send_signal(signal.SIGHUP)

    async def _end(
        self,
        process: asyncio.subprocess.Process,
        signal_number: signal.Signals,
    ) -> None:
        self.send_signal(signal_number)
        self.send_signal(signal.SIGCONT)
        try:
            async with asyncio.timeout(_END_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await process.wait()

    def is_running(self) -> bool:
        """Return whether the process was started and not ended by `end`."""
        return self._process is not None

    def has_crashed(self) -> bool:
        """Return whether the process has exited without a call of `end`."""
        process = self._process
        return process is not None and process.returncode is not None


class SoakSite(Site):
    """Site with fault proxies in front of store, duties and endpoints."""

    def __init__(
        self, session: aiohttp.ClientSession, folder: Path, node_count: int
    ) -> None:
        super().__init__(session, folder)
        self.policy = _POLICY
        self.nodes: list[SoakNode] = []
        self.store_links: list[FaultProxy] = []
        self.duty_links: list[FaultProxy] = []
        self.endpoint_links: dict[str, FaultProxy] = {}
        self._folder = folder
        self._node_count = node_count

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Open the platform, the proxies and all nodes."""
        await super().open(stack)
        for endpoint, service in self.endpoints():
            link = await self._open_proxy(
                stack, self._addresses[endpoint.endpoint_id]
            )
            self.endpoint_links[endpoint.endpoint_id] = link
            self._addresses[endpoint.endpoint_id] = link.address
            self.register(endpoint, service)
        self.register(self.engines[1], 'engines', zone=SOAK_ZONES[1])
        for number in range(self._node_count):
            await self._open_node(stack, number)
        for node in self.nodes:
            await self.wait_ready(node.address())

    def engines_of(self, zone: str) -> list[SamplerApp]:
        """Return the engines of a zone."""
        return [
            engine for engine in self.engines if self.zone_of(engine) == zone
        ]

    def endpoint_links_of(self, zone: str) -> list[FaultProxy]:
        """Return the links to the endpoints of a zone."""
        return [
            self.endpoint_links[endpoint.endpoint_id]
            for endpoint, _ in self.endpoints()
            if self.zone_of(endpoint) == zone
        ]

    def links_of(self, zone: str) -> list[FaultProxy]:
        """Return all links into a zone and out of it."""
        links = self.endpoint_links_of(zone)
        for node, store, duties in zip(
            self.nodes, self.store_links, self.duty_links, strict=True
        ):
            if node.zone == zone:
                links += [store, duties]
        return links

    async def _open_node(
        self, stack: contextlib.AsyncExitStack, number: int
    ) -> None:
        store = await self._open_proxy(stack, self._addresses['store'])
        duties = await self._open_proxy(stack, self._addresses['duties'])
        self.store_links.append(store)
        self.duty_links.append(duties)
        name = f'node-{number}'
        zone = SOAK_ZONES[number >= _FIRST_ZONE_NODE_COUNT]
        settings = self.settings(name, zone)
        settings['platform']['address'] = store.address
        settings['cloud']['address'] = duties.address
        node = SoakNode(name, settings, self._folder)
        self.nodes.append(node)
        await node.start()
        stack.push_async_callback(node.end, signal.SIGKILL)

    async def _open_proxy(
        self, stack: contextlib.AsyncExitStack, target: str
    ) -> FaultProxy:
        return await stack.enter_async_context(FaultProxy(target).serving())
