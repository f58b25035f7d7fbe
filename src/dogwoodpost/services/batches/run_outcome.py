"""Outcomes of the runs of batch items."""

from __future__ import annotations

from enum import Enum


class RunOutcome(Enum):
    """Outcome of one run of an item; values are metric labels and log fields.

    ``REJECTED``: the endpoint will never accept the request.
    ``VERSION_MISMATCH``: the weight version is not allowed for the job.
    """

    COMPLETED = 'completed'
    FAILED = 'failed'
    REJECTED = 'never'
    BROKEN = 'broken'
    NOT_RUN = 'not_run'
    MOVED = 'moved'
    VERSION_MISMATCH = 'unfit'
