"""Injects the faults of a plan into a site."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tests.fakes.fault_proxy import Harm
from tests.soak.soak_plan import FaultKind
from tests.soak.soak_site import SOAK_ZONES

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from tests.fakes.fault_proxy import FaultProxy
    from tests.soak.soak_plan import Fault
    from tests.soak.soak_site import SoakNode
    from tests.soak.soak_site import SoakSite

_WRITE_FAULT_COUNT = 3
_LATE_WRITE_INTERVAL_S = 0.8
_ENDPOINT_FAULT_COUNT = 2


class FaultRunner:
    """Injects faults into a site and ends each one after its duration."""

    def __init__(self, site: SoakSite) -> None:
        self._site = site
        self.fault_ends_s: list[float] = []
        self._next_revision = 3
        self._next_version = 2
        self._actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.STOP: self._stop,
            FaultKind.PAUSE: self._pause,
            FaultKind.HANG_UP: self._hang_up,
            FaultKind.STORE_LINK: self._store_link,
            FaultKind.ENDPOINT_LINK: self._endpoint_link,
            FaultKind.DUTY_LINK: self._duty_link,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_WRITES: self._store_writes,
            FaultKind.ENDPOINT: self._endpoint,
            FaultKind.DRAIN: self._drain,
            FaultKind.CONFIGURATION: self._configuration,
            FaultKind.VERSION: self._version,
            FaultKind.EVACUATION: self._evacuation,
            FaultKind.ZONE_LOSS: self._zone_loss,
            FaultKind.ZONE_CUT: self._zone_cut,
            FaultKind.SILENCE: self._silence,
        }

    async def run(self, fault: Fault) -> None:
        """Wait for the start of a fault, inject it and end it."""
        await asyncio.sleep(fault.at_s)
        await self._actions[fault.kind](fault)
        self.fault_ends_s.append(asyncio.get_running_loop().time())

    async def apply_late_writes(self) -> None:
        """Apply the writes whose response was lost, until cancelled."""
        while True:
            await asyncio.sleep(_LATE_WRITE_INTERVAL_S)
            self._site.store.apply_late()

    async def end_all(self) -> None:
        """Clear all remaining faults and restart stopped processes."""
        self._site.store.faults.clear()
        self._site.store.is_down = False
        for engine in self._site.engines:
            engine.faults.clear()
        self._site.plain.faults.clear()
        for link in self._links():
            link.set_harm(Harm.NONE)
        for node in self._site.nodes:
            node.send_signal(signal.SIGCONT)
            await node.start()

    def _links(self) -> list[FaultProxy]:
        site = self._site
        return [
            *site.store_links,
            *site.duty_links,
            *site.endpoint_links.values(),
        ]

    def _node(self, fault: Fault) -> SoakNode:
        return self._site.nodes[fault.target % len(self._site.nodes)]

    async def _kill(self, fault: Fault) -> None:
        node = self._node(fault)
        await node.end(signal.SIGKILL)
        await asyncio.sleep(fault.for_s)
        await node.start()

    async def _stop(self, fault: Fault) -> None:
        node = self._node(fault)
        await node.end(signal.SIGTERM)
        await node.start()

    async def _pause(self, fault: Fault) -> None:
        node = self._node(fault)
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.send_signal(signal.SIGCONT)

    async def _hang_up(self, fault: Fault) -> None:
        self._node(fault).hang_up()

    async def _apply_harm(
        self, links: Sequence[FaultProxy], harm: Harm, duration_s: float
    ) -> None:
        for link in links:
            link.set_harm(harm)
        await asyncio.sleep(duration_s)
        for link in links:
            link.set_harm(Harm.NONE)

    async def _harm_one(
        self, links: Sequence[FaultProxy], fault: Fault
    ) -> None:
        link = links[fault.target % len(links)]
        await self._apply_harm([link], fault.harm, fault.for_s)

    async def _store_link(self, fault: Fault) -> None:
        await self._harm_one(self._site.store_links, fault)

    async def _endpoint_link(self, fault: Fault) -> None:
        links = list(self._site.endpoint_links.values())
        await self._harm_one(links, fault)

    async def _duty_link(self, fault: Fault) -> None:
        await self._harm_one(self._site.duty_links, fault)

    async def _store_down(self, fault: Fault) -> None:
        self._site.store.is_down = True
        await asyncio.sleep(fault.for_s)
        self._site.store.is_down = False

    async def _store_writes(self, fault: Fault) -> None:
        self._site.store.faults.extend([fault.row_fault] * _WRITE_FAULT_COUNT)

    async def _endpoint(self, fault: Fault) -> None:
        endpoints = [item for item, _ in self._site.endpoints()]
        endpoint = endpoints[fault.target % len(endpoints)]
        if fault.endpoint_fault is not None:
            endpoint.faults.extend(
                [fault.endpoint_fault] * _ENDPOINT_FAULT_COUNT
            )

    async def _drain(self, fault: Fault) -> None:
        engine = self._site.engines[fault.target % len(self._site.engines)]
        self._site.register(engine, 'engines', state='draining')
        await asyncio.sleep(fault.for_s)
        self._site.register(engine, 'engines')

    async def _configuration(self, fault: Fault) -> None:
        configuration = self._site.configuration(self._next_revision)
        self._next_revision += 1
        self._site.configure(configuration)

    async def _evacuation(self, fault: Fault) -> None:
        zone = self._zone(fault)
        self._site.evacuate(zone)
        await asyncio.sleep(fault.for_s)
        self._site.evacuate(zone, is_over=True)

    async def _zone_loss(self, fault: Fault) -> None:
        zone = self._zone(fault)
        nodes = [node for node in self._site.nodes if node.zone == zone]
        await asyncio.gather(*(node.end(signal.SIGKILL) for node in nodes))
        links = self._site.endpoint_links_of(zone)
        await self._apply_harm(links, Harm.SILENT, fault.for_s)
        await asyncio.gather(*(node.start() for node in nodes))

    async def _zone_cut(self, fault: Fault) -> None:
        links = self._site.links_of(self._zone(fault))
        await self._apply_harm(links, Harm.SILENT, fault.for_s)

    async def _silence(self, fault: Fault) -> None:
        for link in self._links():
            link.silence_open()

    def _zone(self, fault: Fault) -> str:
        return SOAK_ZONES[fault.target % len(SOAK_ZONES)]

    async def _version(self, fault: Fault) -> None:
        self._site.name_version(self._next_version)
        self._next_version += 1
