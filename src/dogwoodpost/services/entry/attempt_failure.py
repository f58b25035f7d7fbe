"""Failure of one attempt."""

from __future__ import annotations

from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import RequestError


class AttemptFailure(DogwoodpostError):  # noqa: N818
    """An attempt failed; a retry may still let the request succeed.

    :param reason: label of the retry counter.
    :param may_retry: whether it is safe to run the request again.
    :param error: raised to the caller if the request is not retried.
    """

    def __init__(
        self, reason: str, *, may_retry: bool, error: RequestError
    ) -> None:
        self.reason = reason
        self.may_retry = may_retry
        self.error = error
        super().__init__(reason)
