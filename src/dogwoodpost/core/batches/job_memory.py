"""Memory that a batch job takes in a process, estimated from above."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core.batches.job import BatchItem
    from dogwoodpost.core.batches.job import BatchJob

# Objects and table entries of a 64-bit interpreter.
_OBJECT_BYTES = 150
_STRING_BYTES = 80
_ITEM_BYTES = 700
_HEADER_BYTES = 160
_SCORER_BYTES = 400
# Run, task and saved progress.
_STARTED_ITEM_BYTES = 8 * 1024
# Share of a process's memory that a single job may take.
_MAX_JOB_SHARE = 0.25


def max_job_memory_bytes(process_memory_bytes: int) -> int:
    """Return the memory that a single job may take in a process."""
    return int(process_memory_bytes * _MAX_JOB_SHARE)


def decoding_memory_bytes(body: bytes) -> int:
    """Return the memory that decoding a job's JSON takes at most.

    Each object has a brace, and each string two quotes.
    """
    object_count = body.count(b'{')
    string_count = body.count(b'"') // 2
    return (
        len(body) + _OBJECT_BYTES * object_count + _STRING_BYTES * string_count
    )


def job_memory_bytes(job: BatchJob, max_started_count: int) -> int:
    """Return the memory that a job takes in the process that runs it.

    :param max_started_count: limit on the items that are started at a time.
    """
    started_count = min(len(job.items), max_started_count)
    items_bytes = sum(map(_item_memory_bytes, job.items))
    return items_bytes + _STARTED_ITEM_BYTES * started_count


def _item_memory_bytes(item: BatchItem) -> int:
    size_bytes = _ITEM_BYTES + len(item.path) + len(item.body)
    for name, value in item.headers:
        size_bytes += _HEADER_BYTES + len(name) + len(value)
    scorer = item.scorer
    if scorer is not None:
        size_bytes += _SCORER_BYTES + len(scorer.path) + len(scorer.body)
    return size_bytes
