"""Turns what went wrong with an attempt into its failure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.attempt_failure import AttemptFailure

if TYPE_CHECKING:
    from dogwoodpost.ports.attempt_runner import AttemptNotRunError
    from dogwoodpost.services.entry.request_state import RequestState

_RETRY_AFTER_S = 1.0


def not_run(state: RequestState, error: AttemptNotRunError) -> AttemptFailure:
    """Return the failure of an attempt that has not run."""
    state.not_run_count += 1
    reason = error.reason
    if reason is RefusalReason.DEADLINE_PASSED:
        return AttemptFailure(
            reason.value,
            may_retry=False,
            error=_error(state, 'deadline_passed', str(error), 504),
        )
    return AttemptFailure(
        reason.value if reason else 'not_sent',
        may_retry=True,
        error=_error(state, 'not_run', str(error), 503, error.retry_after_s),
    )


def unknown(state: RequestState, code: str, detail: str) -> AttemptFailure:
    """Return the failure of an attempt that may have run."""
    state.may_have_run = True
    idempotent = state.request.idempotent
    public_code = code if idempotent else 'outcome_unknown'
    return AttemptFailure(
        code,
        may_retry=idempotent,
        error=_error(state, public_code, detail, 502),
    )


def deadline_passed(state: RequestState) -> AttemptFailure:
    """Return the failure of an attempt that the time limit ended."""
    state.may_have_run = True
    detail = 'the time limit has passed'
    if state.request.idempotent:
        error = _error(state, 'deadline_passed', detail, 504)
    else:
        error = _error(state, 'outcome_unknown', detail, 502)
    return AttemptFailure('deadline_passed', may_retry=False, error=error)


def bad_status(state: RequestState, status: int) -> AttemptFailure:
    """Return the failure of an attempt whose status can't be passed on."""
    state.may_have_run = True
    error = _error(
        state,
        'endpoint_failed',
        f'the endpoint answered with status {status}',
        502,
    )
    return AttemptFailure(f'status_{status}', may_retry=True, error=error)


def _error(
    state: RequestState,
    code: str,
    message: str,
    status: int,
    retry_after_s: float | None = None,
) -> RequestError:
    return RequestError(
        code,
        message,
        status=status,
        not_run=not state.may_have_run,
        retry_after_s=retry_after_s or _RETRY_AFTER_S,
    )
