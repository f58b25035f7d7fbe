"""Estimates of the memory that batch jobs take."""

from __future__ import annotations

import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.group_needs import GroupNeeds
from dogwoodpost.core.batches.job_memory import decoding_memory_bytes
from dogwoodpost.core.batches.job_memory import job_memory_bytes
from dogwoodpost.core.batches.listing_schedule import ListingSchedule
from dogwoodpost.core.configuration import Route
from dogwoodpost.platform.batch_calls import _decode_job

if TYPE_CHECKING:
    from dogwoodpost.core.batches import BatchJob

ROUTE = Route(
    name=ids.RouteName('r'), service=ids.ServiceName('s'), path_prefix='/'
)


def item(number: int, **fields: Any) -> dict[str, Any]:
    return {'id': f'item-{number:08d}', 'path': f'/a/{number}', **fields}


def usual_item(number: int) -> dict[str, Any]:
    return item(
        number,
        headers={
            'X-Model': f'model-{number}',
            'X-Token-Usage': f'540,{number}',
            'X-Prompt-Prefix': f'9c2e41:300,{number:x}:240',
        },
        body=b'x' * 60,
        tokens=940,
        group=f'group-{number // 8}',
        scorer={
            'id': f'score-{number}',
            'host': f'host-{number}.example',
            'path': f'/b/{number}',
            'body': b'x' * 60,
        },
    )


SHAPES = {
    'usual': [usual_item(number) for number in range(2_000)],
    'minimal': [item(number) for number in range(5_000)],
    'many_headers': [
        item(number, headers={f'x-{n}-{number}': str(n) for n in range(50)})
        for number in range(200)
    ],
    'long_bodies': [item(number, body=b'x' * 100_000) for number in range(20)],
}


@pytest.mark.parametrize('shape', SHAPES)
def test_estimates_are_not_exceeded(shape: str) -> None:
    """Guards against a job that takes a process over its memory limit.

    Decoded items take several times the bytes of their JSON.
    """
    body = msgspec.json.encode({'requests': SHAPES[shape]})
    tracemalloc.start()
    try:
        job: BatchJob = _decode_job(
            body, ids.JobId('job'), 'host', ROUTE, None, 0.0
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
        kept = (GroupNeeds(job), ListingSchedule(job))
        run_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept
    assert peak_bytes <= decoding_memory_bytes(body)
    assert run_bytes <= job_memory_bytes(job, max_started_count=0)
    # Estimates that are far too high refuse jobs without need.
    assert job_memory_bytes(job, max_started_count=0) <= 2 * run_bytes
