"""Batch jobs on a store that loses responses and applies writes late."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import JobHead
from dogwoodpost.core.batches import ResultState
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.services.batches.job_store import JobStore
from dogwoodpost.standins.memory_row_store import MemoryRowStore
from dogwoodpost.standins.memory_row_store import RowFault
from dogwoodpost.standins.memory_store import MemoryObjectStore
from tests.fakes.immediate_clock import ImmediateClock

JOB = ids.JobId('job')
FAULTS = st.lists(
    st.sampled_from(
        [
            None,
            RowFault.UNAVAILABLE,
            RowFault.ANSWER_LOST,
            RowFault.APPLIED_LATE,
        ]
    ),
    min_size=0,
    max_size=12,
)


def batch_job(body: bytes = b'prompt') -> BatchJob:
    items = tuple(
        BatchItem(
            item_id=ids.ItemId(f'item-{number}'),
            path='/p/',
            headers=(),
            body=body,
            token_count=10,
        )
        for number in range(4)
    )
    return BatchJob(
        job_id=JOB,
        host='h',
        client_account_id=None,
        accepted_wall_s=0.0,
        due_s=7.0,
        item_lifetime_s=20.0,
        max_attempt_count=3,
        items=items,
    )


def head(owner: str, listed: int = 0) -> JobHead:
    return JobHead(
        owner_id=ids.ProcessId(owner),
        owner_incarnation=ids.Incarnation(owner),
        client_account_id=None,
        accepted_wall_s=0.0,
        total_count=4,
        listed_count=listed,
    )


def result(number: int, text: str = 'text') -> ItemResult:
    return ItemResult(
        item_id=ids.ItemId(f'item-{number}'),
        state=ResultState.COMPLETED,
        text=text,
    )


@pytest.fixture
def rows() -> MemoryRowStore:
    return MemoryRowStore()


def job_store(rows: MemoryRowStore) -> JobStore:
    return JobStore(
        rows, MemoryObjectStore(), ImmediateClock(), random.Random(1)
    )


async def try_accept(store: JobStore, owner: str) -> bool | None:
    """Return whether a job is accepted, None if the outcome is unknown."""
    try:
        await store.accept(batch_job(), head(owner), deadline_s=0.3)
    except RowConflictError:
        return True
    except StoreOutcomeUnknownError:
        return None
    except StoreUnavailableError:
        return False
    return True


@given(faults=FAULTS, late_after=st.integers(0, 3))
def test_job_is_accepted_once_and_a_refused_job_is_not_stored(
    faults: list[RowFault | None], late_after: int
) -> None:
    """Guards against a second owner and against a refused job that runs.

    The store fails, loses responses or applies writes late while several
    processes try to accept the same job.
    """

    async def run_scenario() -> None:
        rows = MemoryRowStore()
        rows.faults.extend(faults)
        store = job_store(rows)
        outcomes: list[bool | None] = []
        for number in range(4):
            outcomes.append(await try_accept(store, f'node-{number}'))
            if number == late_after:
                rows.apply_late()
        rows.apply_late()
        stored = await store.read_head(JOB)
        if True in outcomes:
            first = outcomes.index(True)
            assert stored is not None
            owner = int(stored.head.owner_id[-1])
            assert owner <= first
            assert await store.load(JOB) == batch_job()
        if set(outcomes) == {False}:
            assert stored is None

    asyncio.run(run_scenario())


@given(faults=FAULTS)
def test_positions_of_results_never_change(
    faults: list[RowFault | None],
) -> None:
    """Guards against a result at two positions and two results at one.

    Two owners list results while the store loses responses or applies writes
    late.
    """

    async def run_scenario() -> None:
        rows = MemoryRowStore()
        store = job_store(rows)
        await store.accept(batch_job(), head('node-0'), deadline_s=1.0)
        rows.faults.extend(faults)
        earlier_results: list[ItemResult] = []
        for number in range(4):
            for owner in ('node-0', 'node-1'):
                stored = await store.read_head(JOB)
                assert stored is not None
                listed = stored.head.listed_count
                listed_item_ids = {
                    earlier_result.item_id
                    for earlier_result in earlier_results[:listed]
                }
                if f'item-{number}' in listed_item_ids:
                    continue
                try:
                    await store.write_head(
                        JOB,
                        stored.version,
                        head(owner, listed + 1),
                        [result(number, f'{owner} {number}')],
                        deadline_s=0.4,
                    )
                except StoreError:
                    pass
                rows.apply_late()
                current_results = await store.results(JOB, 0)
                assert (
                    current_results[: len(earlier_results)] == earlier_results
                )
                earlier_results = current_results
        assert len(
            {earlier_result.item_id for earlier_result in earlier_results}
        ) == len(earlier_results)

    asyncio.run(run_scenario())


async def test_large_jobs_and_results_fit_into_rows(
    rows: MemoryRowStore,
) -> None:
    """Guards against jobs and texts that exceed the size of a row or call."""
    store = job_store(rows)
    large = batch_job(body=b'x' * 300_000)
    version = await store.accept(large, head('node-0'), deadline_s=1.0)
    assert await store.load(JOB) == large
    long_text = 'y' * 150_000
    version = await store.write_head(
        JOB, version, head('node-0', 1), [result(0, long_text)], 1.0
    )
    assert (await store.results(JOB, 0))[0].text == long_text
    assert all(len(row.value or b'') <= 65_536 for row in rows.rows.values())
    await store.delete(JOB, version, deadline_s=1.0)
    assert rows.rows == {}


async def test_deletion_does_not_meet_a_job_that_has_changed(
    rows: MemoryRowStore,
) -> None:
    """Guards against deleting a job that was stored or changed meanwhile."""
    store = job_store(rows)
    version = await store.accept(batch_job(), head('node-0'), deadline_s=1.0)
    newer_version = await store.write_head(
        JOB, version, head('node-0', 1), [result(0)], 1.0
    )
    with pytest.raises(RowConflictError):
        await store.delete(JOB, version, deadline_s=1.0)
    assert await store.load(JOB) == batch_job()
    assert await store.results(JOB, 0) == [result(0)]
    await store.delete(JOB, newer_version, deadline_s=1.0)
    assert rows.rows == {}
