"""A request under admission control."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class TicketState(Enum):
    """State of a request under admission control."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """A request that waits or runs, with its cost and deadline.

    :param estimated_tokens: upper estimate of the cost, from the size of the
        request and its own token limit.
    :param deadline_s: time after which the response is of no use, on the
        monotonic clock.
    :param enqueued_s: time of arrival, on the monotonic clock.
    :param priority: requests with a higher one go first.
    :param cost_tokens: expected cost, from the estimate and the account's
        earlier requests; set by :meth:`Admission.submit`.
    """

    request_id: ids.RequestId
    client_account_id: ids.ClientAccountId
    service: ids.ServiceName
    estimated_tokens: float
    deadline_s: float
    enqueued_s: float
    priority: int = 0
    cost_tokens: float = 0.0
    state: TicketState = TicketState.WAITING
