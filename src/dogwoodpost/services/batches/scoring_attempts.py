"""State of the attempts to score one text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.scoring_backoff import ScoringBackoff
from dogwoodpost.core.batches.scoring_limit import OverloadSign
from dogwoodpost.core.connections import trusted_idle_s

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptHead

# Most responses arrive much sooner; bounds the delay caused by an endpoint
# that does not respond.
_INITIAL_TIMEOUT_S = 1.0
# Some texts take longer to score at every endpoint, so each attempt that times
# out raises the limit of the next one.
_TIMEOUT_GROWTH_FACTOR = 2.0
_RETRY_DELAY_S = 0.1
_STATUS_FAILED = 500


class ScoringAttempts:
    """Failures, timeout, delays and endpoints of the attempts at one text.

    ``max_idle_s`` limits how long a connection may have been idle, after an
    attempt that received nothing in time.

    :param client_account_id: account that the text belongs to.
    :param due_s: when the step of the text is due, on the process's clock.
    """

    def __init__(
        self, client_account_id: ids.ClientAccountId | None, due_s: float
    ) -> None:
        self.client_account_id = client_account_id
        self.due_s = due_s
        self.failure_count = 0
        self.max_idle_s: float | None = None
        self.attempt_timeout_s = _INITIAL_TIMEOUT_S
        self.attempted_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
        self._sign: OverloadSign | None = None
        self._backoff = ScoringBackoff()

    def record(
        self,
        head: AttemptHead | None,
        sign: OverloadSign | None,
        attempted_endpoint_ids: Iterable[ids.EndpointId],
        duration_s: float,
    ) -> None:
        """Record the outcome of an attempt.

        :param head: head of the response, None without a response.
        :param sign: sign of overload that the attempt gave, if any.
        :param duration_s: duration of the attempt in seconds.
        """
        self._sign = sign
        self.max_idle_s = (
            trusted_idle_s(duration_s)
            if sign is OverloadSign.TIMED_OUT
            else None
        )
        self.attempted_endpoint_ids = self.attempted_endpoint_ids.union(
            attempted_endpoint_ids
        )
        if duration_s >= self.attempt_timeout_s:
            self.attempt_timeout_s *= _TIMEOUT_GROWTH_FACTOR
        if head is not None and head.status == _STATUS_FAILED:
            self.failure_count += 1

    def retry_delay_s(self, rng: random.Random, *, backs_off: bool) -> float:
        """Return the delay before the next attempt.

        :param backs_off: whether the delay grows while the service refuses.
        """
        if not backs_off:
            return _RETRY_DELAY_S
        return self._backoff.next_delay_s(
            rng, refused=self._sign is OverloadSign.REFUSED
        )
