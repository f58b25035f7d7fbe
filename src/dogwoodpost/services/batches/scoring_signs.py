"""Signs of overload in the outcomes of scoring calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.scoring_limit import OverloadSign

if TYPE_CHECKING:
    from dogwoodpost.errors import RequestError
    from dogwoodpost.ports.attempt_runner import AttemptHead

_FULL_STATUSES = frozenset({429, 503})
# No endpoint had a free slot for the call.
_FULL_CODES = frozenset(
    {'queue_full', 'wait_exceeds_deadline', 'expired_in_queue'}
)
_TIMEOUT_CODES = frozenset({'attempt_timeout', 'deadline_passed'})


def sign_of_response(head: AttemptHead | None) -> OverloadSign | None:
    """Return the sign of overload that a response gives, if any."""
    if head is not None and head.status in _FULL_STATUSES:
        return OverloadSign.REFUSED
    return None


def sign_of_error(error: RequestError) -> OverloadSign | None:
    """Return the sign of overload that a failed call gives, if any.

    An endpoint that can't be reached is none: it has no slots for any limit.
    """
    if error.refused_as_full or error.code in _FULL_CODES:
        return OverloadSign.REFUSED
    if error.code in _TIMEOUT_CODES:
        return OverloadSign.TIMED_OUT
    return None
