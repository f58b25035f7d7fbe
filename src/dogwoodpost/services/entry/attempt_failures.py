"""Creates the failures of attempts and the errors for the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.errors import RequestError
from dogwoodpost.services.entry.attempt_failure import AttemptFailure

if TYPE_CHECKING:
    from dogwoodpost.ports.attempt_runner import AttemptNotRunError
    from dogwoodpost.services.entry.request_state import RequestState

_DEFAULT_RETRY_AFTER_S = 1.0


def not_run(state: RequestState, error: AttemptNotRunError) -> AttemptFailure:
    """Count an attempt that has not run, and return its failure."""
    state.not_run_count += 1
    reason = error.reason
    if reason is RefusalReason.DEADLINE_PASSED:
        return AttemptFailure(
            reason.value,
            may_retry=False,
            error=_request_error(state, 'deadline_passed', str(error), 504),
        )
    request_error = _request_error(
        state, 'not_run', str(error), 503, error.retry_after_s
    )
    request_error.refused_as_full = reason is RefusalReason.OVERLOADED
    return AttemptFailure(
        reason.value if reason else 'not_sent',
        may_retry=True,
        error=request_error,
    )


def outcome_unknown(
    state: RequestState, code: str, detail: str
) -> AttemptFailure:
    """Return the failure of an attempt that may have run.

    :param code: error code for the caller; replaced by ``outcome_unknown`` if
        the request is not idempotent.
    :param detail: error message for the caller.
    """
    state.may_have_run = True
    idempotent = state.request.idempotent
    public_code = code if idempotent else 'outcome_unknown'
    return AttemptFailure(
        code,
        may_retry=idempotent,
        error=_request_error(state, public_code, detail, 502),
    )


def deadline_passed(state: RequestState) -> AttemptFailure:
    """Return the failure of an attempt that reached the deadline."""
    state.may_have_run = True
    detail = 'the time limit has passed'
    if state.request.idempotent:
        error = _request_error(state, 'deadline_passed', detail, 504)
    else:
        error = _request_error(state, 'outcome_unknown', detail, 502)
    return AttemptFailure('deadline_passed', may_retry=False, error=error)


def bad_status(state: RequestState, status: int) -> AttemptFailure:
    """Return the failure of an attempt rejected for its status."""
    state.may_have_run = True
    error = _request_error(
        state,
        'endpoint_failed',
        f'the endpoint answered with status {status}',
        502,
    )
    return AttemptFailure(f'status_{status}', may_retry=True, error=error)


def _request_error(
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
        retry_after_s=retry_after_s or _DEFAULT_RETRY_AFTER_S,
    )
