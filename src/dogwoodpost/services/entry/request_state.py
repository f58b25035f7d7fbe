"""What is known of a request across its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.streams import StreamProgress

if TYPE_CHECKING:
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest


class RequestState:
    """Time, attempts and progress of one request.

    :param max_attempt_count: endpoints that it may run on.
    """

    def __init__(
        self, request: PipelineRequest, clock: Clock, max_attempt_count: int
    ) -> None:
        self.request = request
        self.start_s = clock.monotonic_s()
        self.progress = StreamProgress(
            resumable=request.idempotent and request.route.resumable
        )
        self.attempt_count = 0
        self.not_run_count = 0
        self.may_have_run = False
        self.cost_tokens = 0.0
        self._clock = clock
        self._max_attempt_count = max_attempt_count

    @property
    def deadline_s(self) -> float:
        """Return the end of the time limit, in monotonic time."""
        return self.start_s + self.request.timeout_s

    @property
    def elapsed_s(self) -> float:
        """Return the time since the request arrived."""
        return self._clock.monotonic_s() - self.start_s

    @property
    def remaining_s(self) -> float:
        """Return the time until the end of the time limit."""
        return max(self.request.timeout_s - self.elapsed_s, 0.0)

    @property
    def counted_attempts(self) -> int:
        """Return the attempts that count towards the request's limit."""
        free_count = min(self.not_run_count, self.request.free_not_run_count)
        return self.attempt_count - free_count

    @property
    def has_attempts_left(self) -> bool:
        """Return whether another attempt would be within the limit."""
        return self.counted_attempts < self._max_attempt_count
