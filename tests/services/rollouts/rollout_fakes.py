"""Fakes of the dependencies of the rollout service."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any
from typing import NamedTuple

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts.scheduling_policy import SchedulingPolicy
from dogwoodpost.core.rollouts.step_spec import StepSpec
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import RequestError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.lease_guard import LeaseGuard
from dogwoodpost.ports.sample_dispatcher import SampleDispatcher
from dogwoodpost.ports.sample_dispatcher import SampleRequest
from dogwoodpost.ports.sample_dispatcher import SampleResult
from dogwoodpost.ports.sample_dispatcher import TokenSegment
from dogwoodpost.ports.scorer import Scorer
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.services.rollouts.rollout_service import RolloutService
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from dogwoodpost.standins.virtual_time import HostClock

TRAINER = ids.TrainerId('trainer-1')
ACCOUNT = ids.ClientAccountId('account-1')
STEP = ids.StepId('step-1')


class FakeGuard(LeaseGuard):
    """A lease that may count as held after another owner has acquired it."""

    def __init__(self, number: int, version: int) -> None:
        self.number = ids.FencingNumber(number)
        self.version = version
        self.is_held = True

    def fencing_number(self) -> ids.FencingNumber:
        if not self.is_held:
            raise LeaseLostError('lost')
        return self.number

    def fence_check(self) -> Check:
        self.fencing_number()
        return Check('lease/rollout/fence', self.version)


class GroundTruth(NamedTuple):
    """Start time of a sample and the version of each of its tokens."""

    begun_s: float
    versions: list[ids.WeightVersion]


class FakeDispatcher(SampleDispatcher):
    """Generates a token every ``token_s``; counters fail the next samples."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.version = ids.WeightVersion(1)
        self.token_s = 1.0
        self.failing_count = 0
        self.uncertain_count = 0
        self.requests: list[SampleRequest] = []
        self.truth: dict[str, GroundTruth] = {}

    async def generate(self, request: SampleRequest) -> SampleResult:
        self.requests.append(request)
        name = request.sample_id.rpartition('/')[0]
        begun_s = asyncio.get_running_loop().time()
        truth = self.truth.setdefault(name, GroundTruth(begun_s, []))
        length = self.rng.randint(1, 2 * request.max_tokens)
        count = min(length, request.max_tokens)
        tokens = []
        for _ in range(count):
            await asyncio.sleep(self.token_s)
            tokens.append(self.version)
        if self.failing_count > 0:
            self.failing_count -= 1
            raise RequestError('endpoint_failed', 'crashed', status=502)
        truth.versions.extend(tokens)
        segments = tuple(
            TokenSegment(weight_version=version, token_count=len(list(part)))
            for version, part in itertools.groupby(tokens)
        )
        if self.uncertain_count > 0:
            self.uncertain_count -= 1
            segments = ()
        return SampleResult(
            sample_id=request.sample_id,
            endpoint_id=ids.EndpointId('endpoint-1'),
            completion='x' * count,
            segments=segments,
            finished=count == length,
        )

    async def cancel(self, sample_id: ids.SampleId) -> None:
        return


class FakeScorer(Scorer):
    """Scores by length; fails the next ``failing_count`` calls."""

    def __init__(self) -> None:
        self.failing_count = 0
        self.calls: list[ids.SampleId] = []

    async def score(
        self, sample_id: ids.SampleId, prompt: str, completion: str
    ) -> float:
        self.calls.append(sample_id)
        await asyncio.sleep(0.1)
        if self.failing_count > 0:
            self.failing_count -= 1
            raise PlatformError('scorer timed out')
        return float(len(completion))


class World:
    """Stores, engines and lease that are shared by all owners."""

    def __init__(self, seed: int = 1, **policy: Any) -> None:
        self.rng = random.Random(seed)
        self.table = MemoryTableStore()
        self.objects = MemoryObjectStore(self.table.faults)
        self.faults = self.table.faults
        self.dispatcher = FakeDispatcher(self.rng)
        self.scorer = FakeScorer()
        self.metrics = Metrics()
        self.current_version = ids.WeightVersion(1)
        self.holder: object = None
        self.guards: list[FakeGuard] = []
        defaults = {'batch_sample_count': 4, 'first_slice_tokens': 5}
        self.policy = SchedulingPolicy(**{**defaults, **policy})

    async def take_lease(self) -> FakeGuard:
        """Write the fence row, as is done when a lease is acquired."""
        number = len(self.guards) + 1
        key = 'lease/rollout/fence'
        row = self.table.rows.get(key)
        checks = [Check(key, row.version if row else 0)]
        versions = await self.table.commit(
            ids.OperationId(f'lease-{self.rng.random()}'),
            checks,
            [Write(key, str(number).encode())],
        )
        guard = FakeGuard(number, versions[key])
        self.guards.append(guard)
        return guard

    def service(self) -> RolloutService:
        """Return a service that acquires the lease on first use."""
        service: RolloutService

        async def acquire(_: ids.TrainerId) -> LeaseGuard:
            if self.holder is not None and self.holder is not service:
                raise LeaseLostError('held elsewhere')
            guard = await self.take_lease()
            self.holder = service
            return guard

        service = RolloutService(
            table=self.table,
            objects=self.objects,
            dispatcher=self.dispatcher,
            scorer=self.scorer,
            clock=HostClock(),
            rng=random.Random(self.rng.random()),
            metrics=self.metrics,
            acquire=acquire,
            current_version=lambda _: self.current_version,
            capacity=lambda: 16,
            policy=self.policy,
        )
        return service


def step_spec(step_id: str = STEP, **changes: Any) -> StepSpec:
    """Return a specification of three groups of two samples."""
    values = {
        'prompts': ('p0', 'p1', 'p2'),
        'samples_per_group': 2,
        'max_tokens': 40,
        'max_version_lag': 1,
        'max_age_s': 600.0,
        'deadline_s': 3600.0,
    }
    return StepSpec(
        step_id=ids.StepId(step_id),
        trainer_id=TRAINER,
        client_account_id=ACCOUNT,
        service=ids.ServiceName('slate-lm'),
        **{**values, **changes},
    )
