"""Batch jobs: items, results, state and decisions."""

from __future__ import annotations

from dogwoodpost.core.batches.item_progress import ItemProgress
from dogwoodpost.core.batches.item_result import ItemResult
from dogwoodpost.core.batches.item_result import ResultState
from dogwoodpost.core.batches.item_text import ItemText
from dogwoodpost.core.batches.job import BatchItem
from dogwoodpost.core.batches.job import BatchJob
from dogwoodpost.core.batches.job import ScorerCall
from dogwoodpost.core.batches.job_head import JobHead
from dogwoodpost.core.batches.job_head import JobState
from dogwoodpost.core.batches.stream_event import StreamEvent

__all__ = (
    'BatchItem',
    'BatchJob',
    'ItemProgress',
    'ItemResult',
    'ItemText',
    'JobHead',
    'JobState',
    'ResultState',
    'ScorerCall',
    'StreamEvent',
)
