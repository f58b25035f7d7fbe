"""Batch jobs with a store that refuses what is over its limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies

from dogwoodpost.core import ids
from dogwoodpost.core.batches import ItemResult
from dogwoodpost.core.batches import ItemText
from dogwoodpost.core.batches import ResultState
from dogwoodpost.core.batches import StreamEvent
from dogwoodpost.core.memory_budget import MemoryBudget
from dogwoodpost.errors import EndpointError
from dogwoodpost.platform.store_client import _transaction
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.services.batches import job_rows
from dogwoodpost.services.batches.result_cache import ResultCache
from tests.platform.platform_site import EVENT_COUNT
from tests.services.batches.test_job_invariants import head
from tests.services.batches.test_job_invariants import JOB
from tests.services.batches.test_job_invariants import job_store
from tests.services.batches.test_job_invariants import MemoryRowStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.ports.row_store import RowWrite
    from tests.platform.platform_site import Site

MAX_CALL_BYTES = 1_000_000
MAX_ENTRY_COUNT = 100
# Characters of one to four bytes, and some that JSON escapes.
LETTERS = ('a', 'ö', '葉', '🍂', '"', '\x01', '\\')
RESULTS = strategies.lists(
    strategies.builds(
        lambda number, letter, size: ItemResult(
            item_id=ids.ItemId(f'{number:016x}'),
            state=ResultState.COMPLETED,
            text=letter * (size // len(letter.encode())),
            versions=(ids.WeightVersion(1),),
            score='s' * 40,
        ),
        strategies.integers(0, 2**60),
        strategies.sampled_from(LETTERS),
        strategies.sampled_from([10, 5_000, 40_000, 61_000, 180_000, 699_000]),
    ),
    min_size=1,
    max_size=60,
)


@given(RESULTS)
def test_results_that_are_listed_together_fit_in_a_call(
    results: list[ItemResult],
) -> None:
    """Guards against a transaction that the store refuses at each repeat."""
    store = job_store(MemoryRowStore())
    job_head = head('owner')
    count = store.fitting_count(JOB, job_head, results)
    assert count >= 1
    writes = [job_rows.head_write(JOB, job_head)]
    for position, result in enumerate(results[:count]):
        writes += job_rows.result_writes(JOB, position, result)
    checks = [RowCheck(job_rows.head_key(JOB), 2**53)]
    assert len(_transaction(checks, writes)) <= MAX_CALL_BYTES
    assert len(checks) + len(writes) <= MAX_ENTRY_COUNT


@given(RESULTS)
def test_pages_of_results_stay_below_their_limit(
    results: list[ItemResult],
) -> None:
    """Guards against pages over 1 MB, which clients may refuse."""
    cache = ResultCache(MemoryBudget(2**30), max_bytes=2**30)
    cache.add(JOB, 0, results)
    position = 0
    while position < len(results):
        page = cache.page(JOB, position)
        assert page == results[position : position + len(page)]
        size_bytes = sum(len(msgspec.json.encode(result)) for result in page)
        assert len(page) == 1 or size_bytes <= MAX_CALL_BYTES
        position += len(page)


def filled_text(data: str, event_count: int, *, changes: bool) -> ItemText:
    """Return a text of equal events; stops where the text is full.

    :param changes: whether each event names another weight version.
    """
    text = ItemText()
    text.begin_run(ids.WeightVersion(1))
    for number in range(event_count):
        text.add(
            StreamEvent(
                event_id=number,
                data=data,
                weight_version=(
                    ids.WeightVersion(2**40 + number) if changes else None
                ),
            )
        )
    return text


@pytest.mark.parametrize('changes', [False, True])
@pytest.mark.parametrize('data', ['', 'a', '🍂', '葉' * 1_000])
def test_longest_text_fits_in_a_call(data: str, changes: bool) -> None:
    """Guards against a text that is accepted and can never be listed."""
    with pytest.raises(EndpointError, match='after') as full:
        filled_text(data, 800_000, changes=changes)
    event_count = int(str(full.value).split()[-2])
    text = filled_text(data, event_count, changes=changes)
    result = ItemResult(
        item_id=ids.ItemId('i'),
        state=ResultState.COMPLETED,
        text=text.text(),
        versions=text.versions(),
    )
    writes = [
        job_rows.head_write(JOB, head('owner')),
        *job_rows.result_writes(JOB, 0, result),
    ]
    checks = [RowCheck(job_rows.head_key(JOB), 2**53)]
    assert len(_transaction(checks, writes)) <= MAX_CALL_BYTES


def result_count(writes: Sequence[RowWrite]) -> int:
    return sum(
        write.key.key.startswith(job_rows.RESULT_PREFIX) for write in writes
    )


async def test_refused_results_are_listed_in_smaller_parts(
    site: Site,
) -> None:
    """Guards against results that a refusal keeps from ever being listed."""
    site.store_app.refuses = lambda writes: result_count(writes) > 1
    async with site.node('node-1') as node:
        job = site.job(item_count=8)
        assert await site.submit(node, job, 'job-1') == 202
        results = await site.results(node, 'job-1', 8)
    assert len({result['id'] for result in results}) == 8
    assert site.store_app.refused_count < 20


async def test_items_end_with_their_job_while_results_are_refused(
    site: Site,
) -> None:
    """Guards against items that run on while a write is being repeated."""
    for engine in site.engines:
        engine.event_gap_s = 0.1
    job = site.job(item_count=60)
    item_ids = {item['id'] for item in job['requests']}
    async with site.node('node-1') as node, site.node('node-2') as other:
        assert await site.submit(node, job, 'job-1') == 202
        await asyncio.sleep(EVENT_COUNT * 0.1 + 0.1)
        # Refusals that are not final are repeated without end.
        site.store_app.refuses_for_now = lambda writes: result_count(writes)
        await asyncio.sleep(1.0)
        status, _, _ = await site.send(
            other, '/api/lots/job-1', method='DELETE'
        )
        assert status == 200
        await asyncio.sleep(0.5)
        started = [len(engine.requests) for engine in site.engines]
        await asyncio.sleep(1.5)
        assert [len(engine.requests) for engine in site.engines] == started
    ran = {
        request.request_id
        for engine in site.engines
        for request in engine.requests
    }
    assert len(ran & item_ids) < len(item_ids)
