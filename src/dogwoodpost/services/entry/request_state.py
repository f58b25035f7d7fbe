"""State of a request that all its attempts share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.streams import StreamProgress

if TYPE_CHECKING:
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.pipeline_request import PipelineRequest


class RequestState:
    """Elapsed time, attempts and response progress of one request.

    ``may_have_run`` is true once a failed attempt may have run at its
    endpoint. ``cost_tokens`` is the cost of all attempts so far.
    ``other_attempt_runs`` is true while two attempts run at once.
    ``max_idle_s`` limits how long a connection may have been idle, once an
    attempt has received nothing in time.

    :param max_attempt_count: maximum number of attempts, not counting those
        that ``request.free_not_run_count`` allows in addition.
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
        self.other_attempt_runs = False
        self.max_idle_s = request.max_idle_s
        self._clock = clock
        self.max_attempt_count = max_attempt_count

    @property
    def deadline_s(self) -> float:
        """Return the deadline of the request, in monotonic time."""
        return self.start_s + self.request.timeout_s

    @property
    def elapsed_s(self) -> float:
        """Return the time since the request arrived."""
        return self._clock.monotonic_s() - self.start_s

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, at least 0."""
        return max(self.request.timeout_s - self.elapsed_s, 0.0)

    @property
    def counted_attempt_count(self) -> int:
        """Return the number of attempts that count towards the limit."""
        free_count = min(self.not_run_count, self.request.free_not_run_count)
        return self.attempt_count - free_count

    @property
    def has_attempts_left(self) -> bool:
        """Return whether another attempt would be within the limit."""
        return self.counted_attempt_count < self.max_attempt_count
