"""Port: forwards a client's batch job to another process."""

from __future__ import annotations

import abc
from enum import Enum

import msgspec


class JobSubmission(msgspec.Struct, frozen=True, kw_only=True):
    """A client's unchanged call, including its API key.

    The process that receives the forwarded call validates it again.
    """

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ForwardOutcome(Enum):
    """Result of forwarding a job to another process."""

    ACCEPTED = 'accepted'
    NOT_ACCEPTED = 'not_accepted'
    UNKNOWN = 'unknown'


class JobForwardingClient(abc.ABC):
    """Forwards batch jobs to other processes."""

    @abc.abstractmethod
    async def submit(
        self, address: str, submission: JobSubmission
    ) -> ForwardOutcome:
        """Submit a batch job to another process.

        ``NOT_ACCEPTED`` guarantees that the process will not store the job
        later.
        """
