"""Weighted fair queueing for the requests of one service."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from dogwoodpost.core.admission.account_queue import AccountQueue
from dogwoodpost.core.admission.ticket import TicketState

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission.ticket import Ticket

# Largest lag of an account that becomes active here behind accounts that have
# used the service at other entries only. Without a limit, it would go first
# until it had caught up with all of their use.
_MAX_LAG_TOKENS = 50_000.0
# Starts in a row that may overtake less urgent requests. The next start goes
# to the request that has waited longest, so that no rank starves.
_MAX_OVERTAKING_COUNT = 3


class FairQueue:
    """One queue per client account; more urgent requests go first.

    Among requests of the same priority, the account with the lowest virtual
    time goes first. The virtual time of an account, in tokens, advances by the
    cost of each request that starts, divided by the account's weight. An
    account that was idle resumes at the system's virtual time, which follows
    the lowest virtual time of accounts with waiting requests, so it gains no
    advantage from having been idle.
    """

    def __init__(self) -> None:
        self._queues: dict[ids.ClientAccountId, AccountQueue] = {}
        self._virtual_times: dict[ids.ClientAccountId, float] = {}
        self._system_virtual_time = 0.0
        self._overtaking_count = 0
        self.waiting_count = 0

    def push(self, ticket: Ticket) -> None:
        """Append a request to its account's queue."""
        account_id = ticket.client_account_id
        queue = self._queues.get(account_id)
        if queue is None:
            queue = self._queues[account_id] = AccountQueue()
            self._virtual_times[account_id] = max(
                self._virtual_times.get(account_id, 0.0),
                self._system_virtual_time,
            )
        queue.push(ticket)
        self.waiting_count += 1

    def startable_tickets(
        self,
        may_start: Callable[[ids.ClientAccountId], bool],
        max_per_account: int,
    ) -> list[Ticket]:
        """Return the requests that may start, in order.

        The most urgent ones go first. Among those of the same priority,
        accounts follow each other by virtual time, the requests of an account
        by arrival. After some starts that overtook others, the request that
        has waited longest goes before all.

        :param may_start: whether the limits of an account allow a start.
        :param max_per_account: bound on the requests of each account.
        """
        order = sorted(
            (
                account_id
                for account_id in self._queues
                if may_start(account_id)
            ),
            key=lambda account_id: (
                self._virtual_times[account_id],
                account_id,
            ),
        )
        tickets = itertools.chain.from_iterable(
            itertools.islice(self._queues[account_id], max_per_account)
            for account_id in order
        )
        ordered = sorted(tickets, key=lambda ticket: -ticket.priority)
        if not ordered or self._overtaking_count < _MAX_OVERTAKING_COUNT:
            return ordered
        heads = itertools.chain.from_iterable(
            self._queues[account_id].heads() for account_id in order
        )
        oldest = min(heads, key=lambda ticket: ticket.enqueued_s)
        return [
            oldest,
            *(ticket for ticket in ordered if ticket is not oldest),
        ]

    def head_tickets(self) -> list[Ticket]:
        """Return the next request of each account and priority."""
        return [
            ticket
            for queue in self._queues.values()
            for ticket in queue.heads()
        ]

    def count(self, min_priority: int) -> int:
        """Return how many requests of a priority or above wait."""
        return sum(
            queue.count(min_priority) for queue in self._queues.values()
        )

    def start(self, ticket: Ticket, weight: float) -> None:
        """Dequeue a request that starts, and charge its account for it."""
        account_id = ticket.client_account_id
        self._system_virtual_time = max(
            self._system_virtual_time,
            min(
                self._virtual_times[account_id] for account_id in self._queues
            ),
        )
        if self.waiting_count > self.count(ticket.priority):
            self._overtaking_count += 1
        else:
            self._overtaking_count = 0
        self.remove(ticket)
        self._virtual_times[account_id] += ticket.cost_tokens / weight

    def remove(self, ticket: Ticket) -> None:
        """Dequeue a request without charging its account."""
        account_id = ticket.client_account_id
        queue = self._queues[account_id]
        queue.remove(ticket)
        self.waiting_count -= 1
        if not queue:
            del self._queues[account_id]

    def adjust_cost(
        self,
        account_id: ids.ClientAccountId,
        extra_tokens: float,
        weight: float,
    ) -> None:
        """Charge the difference between actual and expected cost."""
        if account_id in self._virtual_times:
            self._virtual_times[account_id] += extra_tokens / weight

    def discard_idle_account(self, account_id: ids.ClientAccountId) -> None:
        """Discard an idle account's virtual time unless it is ahead.

        An account that is ahead of the system's virtual time keeps its own.
        """
        if account_id in self._queues:
            return
        if (
            self._virtual_times.get(account_id, 0.0)
            <= self._system_virtual_time
        ):
            self._virtual_times.pop(account_id, None)

    def tokens_ahead(
        self,
        account_id: ids.ClientAccountId,
        priority: int,
        weight_of: Callable[[ids.ClientAccountId], float],
    ) -> float:
        """Return the tokens that start before a new request of an account.

        More urgent requests start before it, less urgent ones after it. Other
        accounts with requests of its priority are assumed to stay backlogged
        until the virtual time at which the new request would start.
        """
        own_queue = self._queues.get(account_id)
        own_tokens = own_queue.tokens(priority) if own_queue else 0.0
        virtual_time = max(
            self._virtual_times.get(account_id, 0.0), self._system_virtual_time
        )
        virtual_start = virtual_time + own_tokens / weight_of(account_id)
        ahead_tokens = own_tokens
        for other_id, queue in self._queues.items():
            if other_id == account_id or not queue.count(priority):
                continue
            virtual_lag = virtual_start - self._virtual_times[other_id]
            ahead_tokens += max(
                virtual_lag * weight_of(other_id), queue.tokens(priority + 1)
            )
        return ahead_tokens

    def lag_tokens(self, account_id: ids.ClientAccountId) -> float:
        """Return how far an account is behind the mean virtual time.

        The mean includes accounts that are served at other entries only.
        """
        mean_virtual_time = sum(self._virtual_times.values()) / len(
            self._virtual_times
        )
        return mean_virtual_time - self._virtual_times[account_id]

    def charge_remote_consumption(
        self, account_id: ids.ClientAccountId, tokens: float, weight: float
    ) -> None:
        """Charge an account for what it has used at other entries."""
        virtual_time = max(
            self._virtual_times.get(account_id, 0.0), self._system_virtual_time
        )
        virtual_time += tokens / weight
        self._virtual_times[account_id] = virtual_time
        self._system_virtual_time = max(
            self._system_virtual_time, virtual_time - _MAX_LAG_TOKENS
        )

    def expired_tickets(self, now_s: float) -> list[Ticket]:
        """Return the waiting requests whose deadline has passed."""
        return [
            ticket
            for queue in self._queues.values()
            for ticket in queue
            if ticket.deadline_s <= now_s
            and ticket.state is TicketState.WAITING
        ]
