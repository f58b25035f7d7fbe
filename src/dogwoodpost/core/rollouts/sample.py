"""A sample from its creation to its claim."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.ports.sample_dispatcher import TokenSegment


class SamplePhase(Enum):
    """Stage of a sample; CLAIMED samples are in a batch."""

    WAITING = 'waiting'
    RUNNING = 'running'
    SCORING = 'scoring'
    SCORED = 'scored'
    CLAIMED = 'claimed'


class Sample(msgspec.Struct, kw_only=True):
    """The current sample of one slot.

    ``begun_s`` is the start of its first dispatch, which is not later than
    its oldest token. ``segments`` covers ``completion``.
    """

    sample_id: ids.SampleId
    slot: int
    group: int
    phase: SamplePhase = SamplePhase.WAITING
    completion: str = ''
    segments: tuple[TokenSegment, ...] = ()
    token_count: int = 0
    begun_s: float | None = None
    dispatch_count: int = 0
    failure_count: int = 0
    score: float | None = None

    @property
    def dispatch_id(self) -> ids.SampleId:
        """Return the id of the current dispatch, unique to it."""
        return ids.SampleId(f'{self.sample_id}/{self.dispatch_count}')

    @property
    def oldest_version(self) -> ids.WeightVersion:
        """Return the oldest version among the segments."""
        return min(segment.weight_version for segment in self.segments)

    def extend(
        self, completion: str, segments: tuple[TokenSegment, ...]
    ) -> None:
        """Append the output of one dispatch."""
        self.completion += completion
        for segment in segments:
            self._append(segment)

    def _append(self, segment: TokenSegment) -> None:
        self.token_count += segment.token_count
        last = self.segments[-1] if self.segments else None
        if last is None or last.weight_version != segment.weight_version:
            self.segments = (*self.segments, segment)
            return
        merged = TokenSegment(
            weight_version=last.weight_version,
            token_count=last.token_count + segment.token_count,
        )
        self.segments = (*self.segments[:-1], merged)
