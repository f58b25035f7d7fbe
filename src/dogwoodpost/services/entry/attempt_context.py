"""Collaborators of the attempts of a pipeline."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from dogwoodpost.services.entry.response_buffer import ResponseBuffer

if TYPE_CHECKING:
    from dogwoodpost.core.routing import Router
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.attempt_runner import AttemptRunner
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.usage_recorder import UsageRecorder


@dataclass(frozen=True, kw_only=True)
class AttemptContext:
    """What an attempt needs of its process.

    :param bills_begun_requests: record usage for each attempt that an endpoint
        may have run, in the window in which the attempt was sent, instead of
        for each completed request.
    """

    runner: AttemptRunner
    router: Router
    usage: UsageRecorder
    metrics: Metrics
    clock: Clock
    bills_begun_requests: bool
    response_buffer: ResponseBuffer = field(default_factory=ResponseBuffer)
