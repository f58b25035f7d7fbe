"""Port: runs one attempt at one endpoint."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.errors import DogwoodpostError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core.routing.endpoint import Endpoint


class AttemptSpec(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt to run.

    :param headers: request headers without the caller's API key.
    :param timeout_s: time limit of the attempt in seconds.
    :param resumable: forward only complete events, so that another attempt
        can resume after the last one.
    :param resume_after: id of the last event that was forwarded.
    :param continues_response: the head of the response was forwarded by an
        earlier attempt.
    :param max_idle_s: longest time since a kept connection was heard from, in
        seconds; None for any time.
    """

    attempt_id: ids.AttemptId
    request_id: ids.RequestId = ids.RequestId('')
    client_account_id: ids.ClientAccountId | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    idempotent: bool
    priority: int = 0
    resumable: bool = False
    resume_after: int | None = None
    continues_response: bool = False
    max_idle_s: float | None = None


class AttemptHead(msgspec.Struct, frozen=True):
    """Status and headers of the response.

    :param weight_version: weight version that the head names.
    :param ends_with_connection: only the end of the endpoint's connection
        marks that of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    weight_version: ids.WeightVersion | None = None
    ends_with_connection: bool = False


class AttemptData(msgspec.Struct, frozen=True):
    """A chunk of the body; chunks come in order and without duplicates.

    :param ends_event: the data is known to end with a complete event after
        which the stream can be resumed.
    :param last_event_id: id of the stream's last event so far.
    :param has_events: the data has more than comments of an event stream.
    """

    data: bytes
    ends_event: bool = False
    last_event_id: int | None = None
    has_events: bool = True


class AttemptEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of an attempt that ran, with its usage."""

    outcome: messages.AttemptOutcome
    detail: str
    weight_versions: tuple[ids.WeightVersion, ...]
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


AttemptEvent = AttemptHead | AttemptData | AttemptEnd


class AttemptNotRunError(DogwoodpostError):
    """The attempt has not run, and no copy of it can run later."""

    def __init__(
        self,
        reason: messages.RefusalReason | None,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(message)


class AttemptOutcomeUnknownError(DogwoodpostError):
    """The attempt may have run, partially or completely."""


class AttemptRunner(abc.ABC):
    """Runs attempts through the agents of their endpoints."""

    @abc.abstractmethod
    def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        """Yield the head, the body and the end of the response.

        Closing the iterator early cancels the attempt.

        :raises AttemptNotRunError: the attempt was refused, or was never
            handed to the transport.
        :raises AttemptOutcomeUnknownError: the agent cannot be reached or has
            restarted.
        """
