"""What one attempt tells of its endpoint."""

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
# Another endpoint may well serve what one failed to, so idempotent requests
# are tried again after a 500 too.
RETRIED_STATUSES = TEMPORARY_STATUSES | {500}
# An endpoint that sends not even a head for so long counts as failed.
_HANG_S = 5.0


class AttemptWatch:
    """Collects the result of one attempt for the router."""

    def __init__(self, start_s: float, sent_wall_s: float = 0.0) -> None:
        self.start_s = start_s
        self.sent_wall_s = sent_wall_s
        self.failure = ''
        self.waited_s = 0.0
        self.failed = False
        self.judged = True
        self.may_have_run = True
        self.answered = False
        self.end: AttemptEnd | None = None

    def not_run(self, reason: RefusalReason | None) -> None:
        """Note a refusal; only an unreachable agent counts as a failure."""
        self.may_have_run = False
        self.failed = reason is None
        self.judged = self.failed

    def timed_out(self, silence_s: float) -> None:
        """Note the end of the time limit.

        Short limits are set by callers and say nothing of the endpoint.
        """
        if not self.answered and silence_s >= _HANG_S:
            self.failed = True

    def judge_status(self, status: int, kind: ServiceKind) -> None:
        """Note the status; 500 of a plain service may be the request's."""
        self.answered = True
        if status in TEMPORARY_STATUSES:
            self.failed = True
        elif kind is ServiceKind.ENGINE and status == 500:
            self.failed = True

    def result(self) -> AttemptResult:
        """Return what the router has to know."""
        completed = (
            self.end is not None
            and self.end.outcome is AttemptOutcome.COMPLETED
        )
        return AttemptResult(
            failed=self.failed,
            conclusive=self.judged and (completed or self.failed),
            duration_s=self.waited_s,
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
