"""Observations on an endpoint during one attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.admission import actual_cost_tokens
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.routing import AttemptResult

if TYPE_CHECKING:
    from dogwoodpost.core.messages import RefusalReason
    from dogwoodpost.ports.attempt_runner import AttemptEnd

TEMPORARY_STATUSES = frozenset({502, 503, 504})
# A 500 may be specific to one endpoint, so idempotent requests are retried at
# another one after a 500 too.
RETRIED_STATUSES = TEMPORARY_STATUSES | {500}
# An endpoint that sends no head within this time counts as failed.
_HANG_TIMEOUT_S = 5.0


class AttemptObservation:
    """Collects the result of one attempt for the router.

    ``failed`` counts against the endpoint, and ``timed_out`` tells that it
    failed by sending nothing in time. ``is_conclusive`` is false for an
    attempt that says nothing about the endpoint, such as a refused or a
    cancelled one. ``total_wait_s`` excludes the time that the caller takes to
    read the response.

    :param start_s: start of the attempt, in monotonic time.
    :param sent_wall_s: start of the attempt, in wall-clock time.
    """

    def __init__(self, start_s: float, sent_wall_s: float = 0.0) -> None:
        self.start_s = start_s
        self.sent_wall_s = sent_wall_s
        self.failure_reason = ''
        self.failure_detail = ''
        self.total_wait_s = 0.0
        self.failed = False
        self.timed_out = False
        self.is_conclusive = True
        self.may_have_run = True
        self.head_received = False
        self.end: AttemptEnd | None = None

    def record_not_run(self, reason: RefusalReason | None) -> None:
        """Record that the attempt has not run.

        :param reason: reason of a refusal, which is no failure of the
            endpoint; None if the endpoint could not be reached, which is one.
        """
        self.may_have_run = False
        self.failed = reason is None
        self.is_conclusive = self.failed

    def record_timeout(self, wait_s: float) -> None:
        """Record that the request reached its deadline.

        Callers may set short limits, so the endpoint counts as failed only
        if it sent no head for at least ``_HANG_TIMEOUT_S``.

        :param wait_s: time spent waiting for the event that did not arrive.
        """
        if not self.head_received and wait_s >= _HANG_TIMEOUT_S:
            self.record_attempt_timeout()

    def record_attempt_timeout(self) -> None:
        """Record that the endpoint sent nothing within an attempt's limit."""
        self.failed = True
        self.timed_out = True

    def record_status(self, status: int, kind: ServiceKind) -> None:
        """Record the status of the response.

        A 500 of a plain service may be caused by the request, so it is no
        failure of the endpoint.
        """
        self.head_received = True
        if status in TEMPORARY_STATUSES:
            self.failed = True
        elif kind is ServiceKind.ENGINE and status == 500:
            self.failed = True

    def result(self) -> AttemptResult:
        """Return the result for the router."""
        completed = (
            self.end is not None
            and self.end.outcome is AttemptOutcome.COMPLETED
        )
        return AttemptResult(
            failed=self.failed,
            timed_out=self.timed_out,
            conclusive=self.is_conclusive and (completed or self.failed),
            duration_s=self.total_wait_s,
            work_units=self._work_units(),
        )

    def _work_units(self) -> float:
        if self.end is None:
            return 0.0
        return actual_cost_tokens(
            self.end.prompt_tokens,
            self.end.cached_tokens,
            self.end.completion_tokens,
        )
