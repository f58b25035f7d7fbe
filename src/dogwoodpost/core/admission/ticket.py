"""A request on its way through admission."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class TicketState(Enum):
    """Where a request is."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """A request that waits or runs.

    :param estimated_tokens: cost as the request's own limits suggest.
    :param cost_tokens: expected cost, from the estimate and the account's
        earlier requests; set by admission.
    :param deadline_s: time after which nobody wants the response.
    """

    request_id: ids.RequestId
    client_account_id: ids.ClientAccountId
    service: ids.ServiceName
    estimated_tokens: float
    deadline_s: float
    enqueued_s: float
    cost_tokens: float = 0.0
    state: TicketState = TicketState.WAITING
