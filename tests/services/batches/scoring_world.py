"""Simulation of a plain service that scores texts and serves clients."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.batches import ScorerCall
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import NO_LIMITS
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.policy import ScoringLimitPolicy
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import RequestError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptRunner
from dogwoodpost.services.batches.item_scorer import ItemScorer
from dogwoodpost.services.batches.scoring_queue import ScoringQueue
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from dogwoodpost.services.entry.route_finder import RouteFinder
from dogwoodpost.standins.virtual_time import HostClock
from tests.fakes.pipeline import end
from tests.fakes.pipeline import FakeUsage
from tests.services.entry.conftest import FakeConfiguration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec

ENABLED = Policy(scoring_limit=ScoringLimitPolicy(enabled=True))
SERVICE = Service(
    name=ids.ServiceName('plain'),
    kind=ServiceKind.PLAIN,
    endpoint_concurrency=6,
)
ROUTE = Route(
    name=ids.RouteName('plain'), service=SERVICE.name, path_prefix='/'
)
SCORING_PATH = '/score'
ENDPOINT_COUNT = 6
SLOT_COUNT = 6
# Ten times the rate of a site, so that each step's end meets some clients.
CLIENT_INTERVAL_S = 1 / 60
WORK_S = {SCORING_PATH: 0.045, '/client': 0.0375}
SCORED = AttemptHead(200, (('X-Score', '1'),))


class SimulatedService(AttemptRunner):
    """Endpoints that queue, or refuse, what exceeds their slots."""

    def __init__(self, *, refuses_when_full: bool = False) -> None:
        self.refuses_when_full = refuses_when_full
        self.refuses_all = False
        self.lost_ids: set[str] = set()
        self.scoring_count = 0
        self.peak_scoring_count = 0
        self._slots = {
            f'e{number}': asyncio.Semaphore(SLOT_COUNT)
            for number in range(ENDPOINT_COUNT)
        }

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        slots = self._slots[endpoint.endpoint_id]
        if endpoint.endpoint_id in self.lost_ids:
            raise AttemptNotRunError(None, 'no connection')
        is_full = self.refuses_when_full and slots.locked()
        if self.refuses_all or is_full:
            raise AttemptNotRunError(
                messages.RefusalReason.OVERLOADED, 'full', None
            )
        async with self._counted(spec.path), slots:
            await asyncio.sleep(WORK_S[spec.path])
        yield SCORED
        yield end()

    @asynccontextmanager
    async def _counted(self, path: str) -> AsyncIterator[None]:
        count = int(path == SCORING_PATH)
        self.scoring_count += count
        self.peak_scoring_count = max(
            self.peak_scoring_count, self.scoring_count
        )
        try:
            yield
        finally:
            self.scoring_count -= count


class Process:
    """A process that scores items and serves clients."""

    def __init__(
        self,
        service: SimulatedService,
        policy: Policy | None = None,
        owner_count: int = 1,
    ) -> None:
        self.owner_count = owner_count
        self.policy = PolicyHolder(policy)
        self.metrics = Metrics()
        self.router = Router(
            ids.AvailabilityZone('a'), ids.Region('r'), random.Random(1)
        )
        self.set_endpoints(range(ENDPOINT_COUNT))
        self.pipeline = RequestPipeline(
            runner=service,
            router=self.router,
            admission=Admission(),
            usage=FakeUsage(),
            metrics=self.metrics,
            clock=HostClock(),
            rng=random.Random(1),
            policy=self.policy,
        )
        configuration = Configuration(
            revision=ids.Revision(1),
            services={SERVICE.name: SERVICE},
            routes={ROUTE.name: ROUTE},
        )
        self.scorer = ItemScorer(
            self.pipeline,
            RouteFinder(FakeConfiguration(configuration)),
            HostClock(),
            'X-Score',
            ScoringQueue(self.pipeline, lambda: self.owner_count),
        )
        self.client_latencies_s: list[float] = []
        self.client_failures: list[str] = []
        self.finished: list[str] = []

    def set_endpoints(self, numbers: range) -> None:
        """Let only the endpoints with these numbers be registered."""
        for number in range(ENDPOINT_COUNT):
            endpoint_id = ids.EndpointId(f'e{number}')
            if number not in numbers:
                self.router.remove(endpoint_id, 0.0)
                continue
            endpoint = Endpoint(
                endpoint_id=endpoint_id,
                service=SERVICE.name,
                availability_zone=ids.AvailabilityZone('a'),
                region=ids.Region('r'),
                capacity_count=SLOT_COUNT,
            )
            self.router.upsert(endpoint, 0.0)

    def score(self, name: str, due_s: float = 10.0) -> asyncio.Task[None]:
        """Start a scoring call."""
        return asyncio.get_running_loop().create_task(self._score(name, due_s))

    async def score_step(self, count: int = 64) -> float:
        """Score the texts of a step at once; return how long it takes."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await asyncio.gather(*(self.score(f's{n}') for n in range(count)))
        return loop.time() - start_s

    async def send_clients(self, count: int = 24) -> None:
        """Send clients' requests at their rate and record what they get."""
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(self.send_client()))
            await asyncio.sleep(CLIENT_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def send_client(self) -> None:
        """Send one client's request and record what it gets."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        request = PipelineRequest(
            request_id=ids.RequestId('client'),
            route=ROUTE,
            service=SERVICE,
            client_account_id=None,
            limits=NO_LIMITS,
            method='POST',
            path='/client',
            timeout_s=3.01,
            whole_response=True,
            is_client_request=True,
        )
        try:
            async for _ in self.pipeline.execute(request):
                pass
        except RequestError as error:
            self.client_failures.append(error.code)
        else:
            self.client_latencies_s.append(loop.time() - start_s)

    def event_count(self, name: str) -> float:
        """Return a counter of rare events."""
        return (
            self.metrics.registry.get_sample_value(
                'dogwoodpost_events_total', {'name': name}
            )
            or 0.0
        )

    async def _score(self, name: str, due_s: float) -> None:
        call = ScorerCall(
            request_id=ids.RequestId(name),
            host='',
            path=SCORING_PATH,
            body=b'',
        )
        assert await self.scorer.score(call, None, due_s) == '1'
        self.finished.append(name)
