"""Row that records the owner of a batch job and its listed results."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class JobState(Enum):
    """Whether the client has ended a batch job."""

    OPEN = 'open'
    ENDED = 'ended'


class JobHead(msgspec.Struct, frozen=True, kw_only=True):
    """State of a batch job; rewritten by every change of the job.

    :param owner_id: process that runs the job; empty after a hand-over.
    :param accepted_wall_s: time of acceptance in seconds since the Unix
        epoch.
    :param total_count: number of items.
    :param listed_count: number of results that have a position in the job's
        list, where readers see them.
    :param route_name: route by which the job was submitted.
    :param memory_bytes: memory that the job takes in its owner; 0 if an
        earlier version has written the head.
    """

    owner_id: ids.ProcessId
    owner_incarnation: ids.Incarnation
    client_account_id: ids.ClientAccountId | None
    accepted_wall_s: float
    total_count: int
    listed_count: int = 0
    state: JobState = JobState.OPEN
    route_name: ids.RouteName = ids.RouteName('')
    memory_bytes: int = 0

    def belongs_to(
        self, process_id: ids.ProcessId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether this incarnation of a process runs the job."""
        same_process = self.owner_id == process_id
        return same_process and self.owner_incarnation == incarnation

    @property
    def is_ended(self) -> bool:
        """Return whether the client has ended the job."""
        return self.state is JobState.ENDED

    @property
    def is_complete(self) -> bool:
        """Return whether no item is left to run.

        A job that is not ended stays readable even if it is complete.
        """
        return self.is_ended or self.listed_count >= self.total_count

    @property
    def is_kept_open(self) -> bool:
        """Return whether only its client's end of the job is missing."""
        return self.is_complete and not self.is_ended
