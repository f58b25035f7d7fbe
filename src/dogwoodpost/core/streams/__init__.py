"""Event streams that are passed on to callers."""

from __future__ import annotations

from dogwoodpost.core.streams.event_blocks import EventBlocks
from dogwoodpost.core.streams.event_cutter import EventCutter
from dogwoodpost.core.streams.event_cutter import StreamPiece
from dogwoodpost.core.streams.stream_progress import StreamProgress

__all__ = (
    'EventBlocks',
    'EventCutter',
    'StreamPiece',
    'StreamProgress',
)
