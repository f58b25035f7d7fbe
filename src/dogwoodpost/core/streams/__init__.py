"""Forwarding of server-sent event streams to callers."""

from __future__ import annotations

from dogwoodpost.core.streams.event_block import event_fields
from dogwoodpost.core.streams.event_block import is_comment
from dogwoodpost.core.streams.event_block import parse_event_id
from dogwoodpost.core.streams.event_scanner import EventScanner
from dogwoodpost.core.streams.event_splitter import EventSplitter
from dogwoodpost.core.streams.ordered_event_splitter import EventChunk
from dogwoodpost.core.streams.ordered_event_splitter import (
    OrderedEventSplitter,
)
from dogwoodpost.core.streams.resume_point import requested_resume_point
from dogwoodpost.core.streams.stream_progress import StreamProgress
from dogwoodpost.core.streams.stream_run import is_stream_head
from dogwoodpost.core.streams.stream_run import StreamRun

__all__ = (
    'EventScanner',
    'EventSplitter',
    'OrderedEventSplitter',
    'EventChunk',
    'StreamProgress',
    'StreamRun',
    'event_fields',
    'is_comment',
    'is_stream_head',
    'parse_event_id',
    'requested_resume_point',
)
