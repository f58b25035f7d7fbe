"""Owners of batch jobs that share engines, in virtual time without network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.group_needs import GroupNeeds
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.core.batches.waiting_items import PlacementRequest
from dogwoodpost.core.membership.peer_states import ItemDemand
from dogwoodpost.core.membership.peer_states import PeerDemand
from dogwoodpost.core.policy import CapacitySharePolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.observability import Metrics
from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
from dogwoodpost.standins.virtual_time import HostClock

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = ids.ServiceName('engines')
SLOT_COUNT = 8
_EXCHANGE_S = 0.1
# An engine refuses what exceeds its slots and a queue of one request.
_REFUSAL_COUNT = SLOT_COUNT + 1
_BLOCK_S = 0.25


class Owner:
    """Process that owns the jobs of one trainer.

    ``waits_s`` holds the time until the last slot of each item and ``ends_s``
    the end of each complete group.
    """

    def __init__(self, engines: SharedEngines, name: str) -> None:
        self.name = name
        self.engines = engines
        self.clock = HostClock()
        self.router = Router('a', 'r', random.Random(1))
        for endpoint in engines.endpoints:
            self.router.upsert(endpoint, 0.0)
        self.metrics = Metrics()
        self.received: dict[str, tuple[float, tuple[ItemDemand, ...]]] = {}
        self.sends_demands = True
        self.dispatcher = ItemDispatcher(
            self.router,
            ItemPlacement(EndpointEventPace()),
            self.clock,
            LoadingEndpoints(),
            policy=engines.policy,
            metrics=self.metrics,
            peer_demands=self._peer_demands,
        )
        self.running: Counter[ids.EndpointId] = Counter()
        self.waits_s: list[float] = []
        self.ends_s: dict[str, float] = {}

    def yield_count(self, reason: str) -> int:
        """Return how many items have yielded for a reason."""
        counter = self.metrics.events.labels(f'item_yielded_{reason}')
        return int(counter._value.get())

    async def run_job(
        self,
        groups: Sequence[Sequence[float]],
        due_s: float = 7.5,
        desired_group_count: int | None = None,
    ) -> None:
        """Run groups of items with durations until all have ended."""
        job_id = ids.JobId(f'{self.name}-{self.clock.monotonic_s()}')
        items = {
            f'{number}-{place}': duration_s
            for number, group in enumerate(groups)
            for place, duration_s in enumerate(group)
        }
        job = BatchJob(
            job_id=job_id,
            host='h',
            client_account_id=ids.ClientAccountId(self.name),
            accepted_wall_s=0.0,
            due_s=due_s,
            item_lifetime_s=100.0,
            max_attempt_count=3,
            desired_group_count=desired_group_count,
            items=tuple(
                BatchItem(
                    item_id=ids.ItemId(item_id),
                    path='/',
                    headers=(),
                    body=b'',
                    token_count=10,
                    group_id=ids.GroupId(item_id.split('-')[0]),
                )
                for item_id in items
            ),
        )
        needs = GroupNeeds(job)
        end_s = self.clock.monotonic_s() + due_s
        left = Counter(item_id.split('-')[0] for item_id in items)
        with self.dispatcher.needs.registered(job_id, needs):
            async with asyncio.TaskGroup() as tasks:
                for item_id, duration_s in items.items():
                    request = PlacementRequest(
                        service=SERVICE,
                        model=ids.ModelName(self.name),
                        min_version=ids.WeightVersion(1),
                        due_s=end_s,
                        expected_token_count=round(duration_s * 1_000),
                        expected_duration_s=duration_s,
                        job_id=job_id,
                        item_id=ids.ItemId(item_id),
                        client_account_id=job.client_account_id,
                    )
                    tasks.create_task(self._run(request, needs, left))

    async def exchange(self, offset_s: float) -> None:
        """Send the own state to the other owners, until cancelled."""
        await asyncio.sleep(offset_s)
        while True:
            now_s = self.clock.monotonic_s()
            demands = self.dispatcher.own_demands(now_s)
            for peer in self.engines.owners:
                if peer is not self:
                    if self.sends_demands:
                        peer.received[self.name] = (now_s, demands)
                    peer.learn_loads()
            await asyncio.sleep(_EXCHANGE_S)

    def learn_loads(self) -> None:
        """Learn what all owners run at each engine."""
        for endpoint in self.engines.endpoints:
            load = messages.EndpointLoad(
                endpoint_id=endpoint.endpoint_id,
                running_count=self.engines.load(endpoint.endpoint_id),
                waiting_count=0,
                age_ms=0,
            )
            self.router.report_load(load, self.clock.monotonic_s())

    def _peer_demands(self, now_s: float) -> list[PeerDemand]:
        return [
            PeerDemand(
                process_id=ids.ProcessId(name),
                demand=demand,
                age_s=now_s - sent_s,
            )
            for name, (sent_s, demands) in self.received.items()
            for demand in demands
        ]

    async def _run(
        self, request: PlacementRequest, needs: GroupNeeds, left: Counter[str]
    ) -> None:
        asked_s = self.clock.monotonic_s()
        while True:
            slot = await self.dispatcher.acquire(request)
            assert slot is not None
            endpoint_id = slot.endpoint.endpoint_id
            if self.engines.load(endpoint_id) < _REFUSAL_COUNT:
                break
            self.dispatcher.block(endpoint_id, request.model, _BLOCK_S)
            self.dispatcher.release(slot, request, conclusive=False)
        self.waits_s.append(self.clock.monotonic_s() - asked_s)
        self.running[endpoint_id] += 1
        await asyncio.sleep(request.expected_duration_s)
        self.running[endpoint_id] -= 1
        self.dispatcher.release(slot, request, conclusive=True)
        needs.note_finished(request.item_id)
        group = request.item_id.split('-')[0]
        left[group] -= 1
        if not left[group]:
            self.ends_s[f'{request.job_id}/{group}'] = self.clock.monotonic_s()


class SharedEngines:
    """Engines and the owners that fill them."""

    def __init__(
        self,
        engine_count: int,
        names: str,
        *,
        enabled: bool = True,
    ) -> None:
        self.policy = PolicyHolder()
        self.switch(enabled=enabled)
        versions = {
            ids.ModelName(name): ids.WeightVersion(1) for name in names
        }
        self.endpoints = [
            Endpoint(
                endpoint_id=ids.EndpointId(f'e{number}'),
                service=SERVICE,
                availability_zone=ids.AvailabilityZone('a'),
                region=ids.Region('r'),
                capacity_count=SLOT_COUNT,
                weight_versions=versions,
            )
            for number in range(engine_count)
        ]
        self.owners = [Owner(self, name) for name in names]
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> list[Owner]:
        """Start the exchange of loads and demands."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(owner.exchange(0.025 * number))
            for number, owner in enumerate(self.owners)
        ]
        return self.owners

    async def __aexit__(self, *exception: object) -> None:
        """Stop the exchange."""
        for task in self._tasks:
            task.cancel()

    def switch(self, *, enabled: bool) -> None:
        """Switch the policy on or off."""
        shares = CapacitySharePolicy(enabled=enabled)
        self.policy.replace(Policy(capacity_shares=shares))

    def load(self, endpoint_id: ids.EndpointId) -> int:
        """Return what all owners run at an engine."""
        return sum(owner.running[endpoint_id] for owner in self.owners)
