"""The row that decides who runs a batch job and what is listed."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class JobState(Enum):
    """Whether a batch job still wants results."""

    OPEN = 'open'
    ENDED = 'ended'


class JobHead(msgspec.Struct, frozen=True, kw_only=True):
    """State of a batch job; every change of the job rewrites it.

    :param owner_id: process that runs the job; empty after a hand-over.
    :param listed_count: results that have a position.
    """

    owner_id: ids.ProcessId
    owner_incarnation: ids.Incarnation
    client_account_id: ids.ClientAccountId | None
    accepted_wall_s: float
    total_count: int
    listed_count: int = 0
    state: JobState = JobState.OPEN

    def belongs_to(
        self, process_id: ids.ProcessId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether one incarnation of a process runs the job."""
        same_process = self.owner_id == process_id
        return same_process and self.owner_incarnation == incarnation

    @property
    def is_complete(self) -> bool:
        """Return whether nothing is left to run."""
        all_listed = self.listed_count >= self.total_count
        return all_listed or self.state is JobState.ENDED
