"""Port: passes a client's batch job on to another process."""

from __future__ import annotations

import abc
from enum import Enum

import msgspec


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True):
    """A client's call as it came, its key included.

    The process that it is passed on to checks it anew.
    """

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ForwardOutcome(Enum):
    """What became of a job at another process."""

    ACCEPTED = 'accepted'
    NOT_ACCEPTED = 'not_accepted'
    UNKNOWN = 'unknown'


class JobForwardingClient(abc.ABC):
    """Calls other processes."""

    @abc.abstractmethod
    async def submit(
        self, address: str, submission: JobSubmission
    ) -> ForwardOutcome:
        """Submit a batch job at another process.

        ``NOT_ACCEPTED`` promises that the process will not store it later.
        """
