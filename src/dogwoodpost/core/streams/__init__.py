"""Forwarding of server-sent event streams to callers."""

from __future__ import annotations

from dogwoodpost.core.streams.event_splitter import EventSplitter
from dogwoodpost.core.streams.ordered_event_splitter import EventChunk
from dogwoodpost.core.streams.ordered_event_splitter import (
    OrderedEventSplitter,
)
from dogwoodpost.core.streams.stream_progress import StreamProgress

__all__ = (
    'EventSplitter',
    'OrderedEventSplitter',
    'EventChunk',
    'StreamProgress',
)
