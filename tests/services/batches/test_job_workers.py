"""Workers of the jobs that a process owns."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches import JobState
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.services.batches.job_store import StoredHead
from dogwoodpost.services.batches.job_workers import JobWorkers
from dogwoodpost.services.batches.result_cache import ResultCache
from tests.services.batches.test_job_invariants import batch_job
from tests.services.batches.test_job_invariants import head
from tests.services.batches.test_job_invariants import JOB

MEMORY = MemoryBudget(2**20)


@pytest.fixture
def workers() -> JobWorkers:
    identity = ProcessIdentity(
        process_id=ids.ProcessId('owner'),
        incarnation=ids.Incarnation('owner'),
        address='',
    )
    context: Any = SimpleNamespace(identity=identity)
    job_cache: Any = None
    return JobWorkers(context, job_cache, ResultCache(MEMORY))


@pytest.mark.parametrize(
    'changes',
    [
        {'state': JobState.ENDED},
        {'owner_id': ids.ProcessId('another')},
        {'listed_count': 4},
    ],
)
def test_job_that_ended_while_it_was_loaded_is_not_run(
    workers: JobWorkers, changes: dict[str, Any]
) -> None:
    """Guards against items of an ended job that reach endpoints."""
    workers.directory.update(
        JOB, StoredHead(msgspec.structs.replace(head('owner'), **changes), 2)
    )
    with MEMORY.reservation() as memory:
        workers.start(batch_job(), StoredHead(head('owner'), 1), memory)
    assert not workers.is_active(JOB)
