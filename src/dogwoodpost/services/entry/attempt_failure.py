"""Why an attempt did not give a response."""

from __future__ import annotations

from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import RequestError


class AttemptFailure(DogwoodpostError):  # noqa: N818
    """An attempt that failed; the request may still succeed.

    :param reason: label of the retry counter.
    :param may_retry: another attempt can't do harm.
    :param error: what the caller gets if there is no other attempt.
    """

    def __init__(
        self, reason: str, *, may_retry: bool, error: RequestError
    ) -> None:
        self.reason = reason
        self.may_retry = may_retry
        self.error = error
        super().__init__(reason)
