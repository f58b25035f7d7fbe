"""Choice of the process that a job is forwarded to."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.policy import HostOwnershipPolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.ports.job_forwarding import JobForwardingClient
from dogwoodpost.ports.job_forwarding import JobSubmission
from dogwoodpost.services.batches.job_forwarder import JobForwarder
from dogwoodpost.services.membership.presence_service import PresenceService
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.services.batches.test_job_invariants import batch_job

if TYPE_CHECKING:
    from dogwoodpost.core.batches import BatchJob

ZONE = ids.AvailabilityZone('zone-a')
SUBMISSION = JobSubmission(path='/jobs/1', headers=(), body=b'{}')
ENABLED = Policy(host_ownership=HostOwnershipPolicy(enabled=True))


class FakeClient(JobForwardingClient):
    def __init__(self) -> None:
        self.outcome = ForwardOutcome.ACCEPTED
        self.addresses: list[str] = []

    async def submit(
        self, address: str, submission: JobSubmission
    ) -> ForwardOutcome:
        del submission
        self.addresses.append(address)
        return self.outcome


def record(name: str, **fields: object) -> PresenceRecord:
    values: dict[str, object] = {
        'incarnation': name,
        'sequence': 1,
        'address': name,
        'availability_zone': ZONE,
    }
    return PresenceRecord(**{**values, **fields})


@pytest.fixture
def clock() -> VirtualClock:
    return VirtualClock()


@pytest.fixture
def router() -> Router:
    return Router(ZONE, ids.Region('r'), random.Random(1))


@pytest.fixture
def presence(clock: VirtualClock, router: Router) -> PresenceService:
    identity = ProcessIdentity(
        process_id=ids.ProcessId('own'),
        incarnation=ids.Incarnation('own'),
        address='',
    )
    presence = PresenceService(
        identity, MemoryRowStore(), router, clock, availability_zone=ZONE
    )
    # By cores alone, the processes with little memory would own most jobs.
    for number in range(3):
        presence.view.observe(
            ids.ProcessId(f'tight-{number}'),
            record(f'tight-{number}', cores=2.0, memory_mb=60.0),
            1,
            0.0,
        )
    presence.view.observe(
        ids.ProcessId('roomy'),
        record('roomy', cores=1.0, memory_mb=552.0),
        1,
        0.0,
    )
    return presence


@pytest.fixture
def client() -> FakeClient:
    return FakeClient()


@pytest.fixture
def policy() -> PolicyHolder:
    return PolicyHolder()


@pytest.fixture
def forwarder(
    presence: PresenceService,
    client: FakeClient,
    clock: VirtualClock,
    policy: PolicyHolder,
) -> JobForwarder:
    return JobForwarder(
        ProcessIdentity(
            process_id=ids.ProcessId('own'),
            incarnation=ids.Incarnation('own'),
            address='',
        ),
        presence,
        client,
        clock,
        Metrics(),
        policy,
    )


def jobs() -> list[BatchJob]:
    job = batch_job()
    return [
        msgspec.structs.replace(job, model=ids.ModelName(f'm-{number}'))
        for number in range(40)
    ]


async def test_policy_switches_ownership_at_run_time(
    forwarder: JobForwarder, client: FakeClient, policy: PolicyHolder
) -> None:
    """Guards against jobs at hosts without memory, and against a restart.

    While the policy is off, processor capacity alone decides.
    """
    for enabled in (False, True, False):
        policy.replace(ENABLED if enabled else Policy())
        client.addresses.clear()
        for job in jobs():
            await forwarder.forward(job, SUBMISSION, ANY_REGION)
        assert (set(client.addresses) == {'roomy'}) is enabled
    assert client.addresses.count('roomy') < 20


async def test_small_hosts_get_jobs_while_the_large_one_fails(
    forwarder: JobForwarder, client: FakeClient, policy: PolicyHolder
) -> None:
    """Guards against jobs without an owner beside a large host that fails."""
    policy.replace(ENABLED)
    client.outcome = ForwardOutcome.NOT_ACCEPTED
    for job in jobs()[:2]:
        await forwarder.forward(job, SUBMISSION, ANY_REGION)
    assert client.addresses[0] == 'roomy'
    assert client.addresses[1].startswith('tight-')


def test_owners_are_the_processes_that_use_engines(
    presence: PresenceService, router: Router
) -> None:
    """Guards against shares of slots for processes that score nothing."""
    assert presence.owner_count() == 1
    for name, versions in (('engine', {'m': 1}), ('plain', {})):
        router.upsert(
            Endpoint(
                endpoint_id=ids.EndpointId(name),
                service=ids.ServiceName(name),
                availability_zone=ZONE,
                region=ids.Region('r'),
                weight_versions=versions,
            ),
            0.0,
        )
    for number, name in enumerate(('engine', 'plain')):
        process_id = ids.ProcessId(f'tight-{number}')
        presence.view.observe(
            process_id, record(process_id, loads={name: 2}), 2, 0.0
        )
    assert presence.owner_count() == 2
