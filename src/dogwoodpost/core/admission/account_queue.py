"""Waiting requests of one client account at one service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.admission.ticket import Ticket


class AccountQueue:
    """Yields the most urgent request first, those alike by arrival."""

    def __init__(self) -> None:
        self._tickets: dict[int, deque[Ticket]] = {}
        self._tokens: dict[int, float] = {}

    def __bool__(self) -> bool:
        """Return whether a request waits."""
        return bool(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        """Yield the waiting requests in the order in which they start."""
        for priority in sorted(self._tickets, reverse=True):
            yield from self._tickets[priority]

    def push(self, ticket: Ticket) -> None:
        """Append a request behind those of its priority."""
        priority = ticket.priority
        self._tickets.setdefault(priority, deque()).append(ticket)
        tokens = self._tokens.get(priority, 0.0)
        self._tokens[priority] = tokens + ticket.cost_tokens

    def remove(self, ticket: Ticket) -> None:
        """Remove a waiting request.

        :raises KeyError: no request of its priority waits.
        :raises ValueError: the request does not wait.
        """
        priority = ticket.priority
        tickets = self._tickets[priority]
        tickets.remove(ticket)
        self._tokens[priority] -= ticket.cost_tokens
        if not tickets:
            del self._tickets[priority]
            del self._tokens[priority]

    def heads(self) -> list[Ticket]:
        """Return the request that is next of each priority."""
        return [tickets[0] for tickets in self._tickets.values()]

    def count(self, min_priority: int) -> int:
        """Return how many requests of a priority or above wait."""
        return sum(
            len(tickets)
            for priority, tickets in self._tickets.items()
            if priority >= min_priority
        )

    def tokens(self, min_priority: int) -> float:
        """Return the expected cost of the requests of a priority or above."""
        return sum(
            tokens
            for priority, tokens in self._tokens.items()
            if priority >= min_priority
        )
