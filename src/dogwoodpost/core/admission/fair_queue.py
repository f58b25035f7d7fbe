"""Weighted fair queueing of one service in virtual token time."""

from __future__ import annotations

import itertools
from collections import deque
from typing import TYPE_CHECKING

from dogwoodpost.core.admission.ticket import TicketState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission.ticket import Ticket

# Bounds the claim of an account that returns after others have used the
# service at other entries only.
_MAX_LAG_TOKENS = 50_000.0


class FairQueue:
    """One first-in, first-out queue per client account.

    Each account has a virtual time that advances by cost divided by weight
    as its requests start. The account furthest behind goes first. An account
    that had nothing to do resumes at the time of those being served, so it
    saves up no claim while it is idle.
    """

    def __init__(self) -> None:
        self._queues: dict[ids.ClientAccountId, deque[Ticket]] = {}
        self._virtual: dict[ids.ClientAccountId, float] = {}
        self._served_virtual = 0.0
        self._queued_tokens: dict[ids.ClientAccountId, float] = {}
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Append a request to its account's queue."""
        account_id = ticket.client_account_id
        queue = self._queues.get(account_id)
        if queue is None:
            queue = self._queues[account_id] = deque()
            self._virtual[account_id] = max(
                self._virtual.get(account_id, 0.0), self._served_virtual
            )
        queue.append(ticket)
        self.count += 1
        queued = self._queued_tokens.get(account_id, 0.0)
        self._queued_tokens[account_id] = queued + ticket.cost_tokens

    def heads(
        self,
        may_start: Callable[[ids.ClientAccountId], bool],
        depth: int,
    ) -> Iterator[Ticket]:
        """Yield up to ``depth`` requests of each account, the fairest first.

        Those of one account follow each other in the order of their arrival.
        """
        order = sorted(
            (
                account_id
                for account_id in self._queues
                if may_start(account_id)
            ),
            key=lambda account_id: (self._virtual[account_id], account_id),
        )
        for account_id in order:
            yield from itertools.islice(self._queues[account_id], depth)

    def firsts(self) -> list[Ticket]:
        """Return the first waiting request of each account."""
        return [queue[0] for queue in self._queues.values()]

    def start(self, ticket: Ticket, weight: float) -> None:
        """Take a request off its account's queue to run it."""
        account_id = ticket.client_account_id
        self._served_virtual = max(
            self._served_virtual,
            min(self._virtual[account_id] for account_id in self._queues),
        )
        self.remove(ticket)
        self._virtual[account_id] += ticket.cost_tokens / weight

    def remove(self, ticket: Ticket) -> None:
        """Take a waiting request off its queue."""
        account_id = ticket.client_account_id
        queue = self._queues[account_id]
        queue.remove(ticket)
        self.count -= 1
        self._queued_tokens[account_id] -= ticket.cost_tokens
        if not queue:
            del self._queues[account_id]
            del self._queued_tokens[account_id]

    def correct(
        self,
        account_id: ids.ClientAccountId,
        extra_tokens: float,
        weight: float,
    ) -> None:
        """Account for the difference between actual and estimated cost."""
        if account_id in self._virtual:
            self._virtual[account_id] += extra_tokens / weight

    def forget(self, account_id: ids.ClientAccountId) -> None:
        """Drop an idle account's virtual time if it is no longer ahead."""
        if account_id in self._queues:
            return
        if self._virtual.get(account_id, 0.0) <= self._served_virtual:
            self._virtual.pop(account_id, None)

    def tokens_ahead(
        self,
        account_id: ids.ClientAccountId,
        weight_of: Callable[[ids.ClientAccountId], float],
    ) -> float:
        """Return the cost that starts before a new request of an account.

        Accounts that have waiting requests are expected to keep having some,
        up to the virtual time at which the new request would start.
        """
        own_tokens = self._queued_tokens.get(account_id, 0.0)
        virtual = max(self._virtual.get(account_id, 0.0), self._served_virtual)
        start = virtual + own_tokens / weight_of(account_id)
        ahead = own_tokens
        for other_id in self._queues:
            if other_id != account_id:
                lead = start - self._virtual[other_id]
                ahead += max(lead, 0.0) * weight_of(other_id)
        return ahead

    def lag_tokens(self, account_id: ids.ClientAccountId) -> float:
        """Return how far an account is behind the mean of all accounts.

        The accounts include those that are served at other entries only.
        """
        mean = sum(self._virtual.values()) / len(self._virtual)
        return mean - self._virtual[account_id]

    def charge_elsewhere(
        self, account_id: ids.ClientAccountId, tokens: float, weight: float
    ) -> None:
        """Account for what an account has used at other entries."""
        virtual = max(self._virtual.get(account_id, 0.0), self._served_virtual)
        virtual += tokens / weight
        self._virtual[account_id] = virtual
        self._served_virtual = max(
            self._served_virtual, virtual - _MAX_LAG_TOKENS
        )

    def expired(self, now_s: float) -> list[Ticket]:
        """Return the waiting requests whose deadline has passed."""
        return [
            ticket
            for queue in self._queues.values()
            for ticket in queue
            if ticket.deadline_s <= now_s
            and ticket.state is TicketState.WAITING
        ]
