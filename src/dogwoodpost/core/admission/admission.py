"""Decides which requests wait, start or are refused."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.admission.account_state import AccountState
from dogwoodpost.core.admission.cost_forecast import CostForecast
from dogwoodpost.core.admission.drain_rate import DrainRate
from dogwoodpost.core.admission.fair_queue import FairQueue
from dogwoodpost.core.admission.ticket import TicketState
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.messages import Consumption
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.admission.ticket import Ticket

_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503


class AdmissionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of admission.

    :param max_wait_share: share of the time until its deadline for which a
        request may be expected to wait; the rest is reserved for running it.
    :param run_reserve_factor: multiple of the mean request duration; only so
        much is reserved for running where this allows a longer wait.
    :param max_waiting_count: bound on all waiting requests of a service.
    :param min_retry_after_s: smallest value of Retry-After.
    :param max_retry_after_s: largest value of Retry-After.
    """

    max_wait_share: float = 0.5
    run_reserve_factor: float = 4.0
    max_waiting_count: int = 4_096
    min_retry_after_s: float = 1.0
    max_retry_after_s: float = 60.0


class _ServiceState:
    """Queue, drain rate and cost forecast of one service."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.drain_rate = DrainRate()
        self.forecast = CostForecast()


class Admission:
    """Applies limits per client account and fair queueing per service."""

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._accounts: dict[ids.ClientAccountId, AccountState] = {}
        self._services: dict[ids.ServiceName, _ServiceState] = {}
        self._default_limits = Limits()
        self._unsent_tokens: dict[
            tuple[ids.ServiceName, ids.ClientAccountId], float
        ] = {}

    def set_limits(
        self,
        client_account_id: ids.ClientAccountId,
        limits: Limits,
        now_s: float,
    ) -> None:
        """Apply an account's limits; call it before submitting requests."""
        state = self._accounts.get(client_account_id)
        if state is None:
            self._accounts[client_account_id] = AccountState(limits, now_s)
        elif state.limits != limits:
            state.change_limits(limits, now_s)

    def waiting_count(self, service: ids.ServiceName) -> int:
        """Return the number of waiting requests of a service."""
        state = self._services.get(service)
        return state.queue.waiting_count if state else 0

    def ahead_count(self, service: ids.ServiceName, priority: int) -> int:
        """Return how many waiting requests a new one does not overtake."""
        state = self._services.get(service)
        return state.queue.count(priority) if state else 0

    def waiting_tickets(self, service: ids.ServiceName) -> list[Ticket]:
        """Return the waiting requests of a service, in order.

        Limits of accounts, which may delay a start, are not considered.
        """
        state = self._services.get(service)
        if state is None:
            return []
        return state.queue.startable_tickets(
            lambda _account_id: True, state.queue.waiting_count
        )

    def running_count(self, client_account_id: ids.ClientAccountId) -> int:
        """Return the number of running requests of an account."""
        state = self._accounts.get(client_account_id)
        return state.running_count if state else 0

    def submit(
        self, ticket: Ticket, now_s: float, mean_duration_s: float = math.inf
    ) -> None:
        """Queue a request.

        :param mean_duration_s: mean duration of the service's attempts.
        :raises RequestError: the request is refused and has not run, because
            a queue is full or the expected wait is too long.
        """
        account = self._account(ticket.client_account_id, now_s)
        service = self._service(ticket.service)
        self._check_queue_bounds(account, service, ticket, now_s)
        self._check_expected_wait(
            account, service, ticket, now_s, mean_duration_s
        )
        service.drain_rate.advance(
            now_s, backlogged=service.queue.waiting_count > 0
        )
        ticket.cost_tokens = service.forecast.expected_tokens(
            ticket.client_account_id, ticket.estimated_tokens
        )
        service.queue.push(ticket)
        account.waiting_count += 1

    def reset_drain_rate(self, service: ids.ServiceName) -> None:
        """Discard what is known of the rate at which a queue drains."""
        self._service(service).drain_rate = DrainRate()

    def startable_tickets(
        self,
        service: ids.ServiceName,
        now_s: float,
        *,
        max_count: int,
        max_per_account: int,
    ) -> list[Ticket]:
        """Return requests that may start, in fair order.

        :param max_count: bound on the number of requests.
        :param max_per_account: the same for the requests of each account.
        """
        state = self._services.get(service)
        if state is None:
            return []
        tickets = state.queue.startable_tickets(
            lambda account_id: self._accounts[account_id].may_start(now_s),
            max_per_account,
        )
        return tickets[:max_count]

    def late_tickets(
        self, service: ids.ServiceName, mean_duration_s: float, now_s: float
    ) -> list[Ticket]:
        """Return head requests that will probably miss their deadline.

        Less than ``mean_duration_s`` is left until the deadline, and they
        have waited for more than ``max_wait_share`` of their time limit, which
        is longer than was expected at their arrival.
        """
        state = self._services.get(service)
        if state is None:
            return []
        return [
            ticket
            for ticket in state.queue.head_tickets()
            if ticket.deadline_s - now_s < mean_duration_s
            and self._waited_share(ticket, now_s)
            > self._settings.max_wait_share
        ]

    def lag_tokens(self, ticket: Ticket) -> float:
        """Return how far a waiting request's account is behind the mean.

        See :meth:`FairQueue.lag_tokens`.
        """
        queue = self._services[ticket.service].queue
        return queue.lag_tokens(ticket.client_account_id)

    def start(self, ticket: Ticket, now_s: float) -> None:
        """Start a request returned by :meth:`startable_tickets`."""
        account = self._accounts[ticket.client_account_id]
        service = self._services[ticket.service]
        service.drain_rate.advance(now_s, backlogged=True)
        service.queue.start(ticket, account.weight)
        account.waiting_count -= 1
        account.running_count += 1
        account.charge(ticket.cost_tokens, now_s)
        self._add_unsent_tokens(ticket, ticket.cost_tokens)
        ticket.state = TicketState.RUNNING

    def finish(
        self, ticket: Ticket, actual_tokens: float, now_s: float
    ) -> None:
        """End a running request and charge its account the actual cost.

        :raises ValueError: the request is not running.
        """
        if ticket.state is not TicketState.RUNNING:
            raise ValueError(f'request {ticket.request_id} is not running')
        ticket.state = TicketState.DONE
        account = self._accounts[ticket.client_account_id]
        service = self._services[ticket.service]
        account.running_count -= 1
        extra_tokens = actual_tokens - ticket.cost_tokens
        account.charge(extra_tokens, now_s)
        self._add_unsent_tokens(ticket, extra_tokens)
        service.forecast.observe(
            ticket.client_account_id, ticket.estimated_tokens, actual_tokens
        )
        service.queue.adjust_cost(
            ticket.client_account_id, extra_tokens, account.weight
        )
        backlogged = service.queue.waiting_count > 0
        service.drain_rate.advance(now_s, backlogged=backlogged)
        if backlogged:
            service.drain_rate.record_completed(actual_tokens)
        service.queue.discard_idle_account(ticket.client_account_id)

    def withdraw(self, ticket: Ticket, now_s: float) -> None:
        """Remove a waiting request that has not run from its queue.

        :raises ValueError: the request is not waiting.
        """
        if ticket.state is not TicketState.WAITING:
            raise ValueError(f'request {ticket.request_id} is not waiting')
        ticket.state = TicketState.DONE
        service = self._services[ticket.service]
        service.drain_rate.advance(now_s, backlogged=True)
        service.queue.remove(ticket)
        service.queue.discard_idle_account(ticket.client_account_id)
        self._accounts[ticket.client_account_id].waiting_count -= 1

    def expire(self, service: ids.ServiceName, now_s: float) -> list[Ticket]:
        """Withdraw and return the requests whose deadline has passed."""
        state = self._services.get(service)
        if state is None:
            return []
        expired = state.queue.expired_tickets(now_s)
        for ticket in expired:
            self.withdraw(ticket, now_s)
        return expired

    def pop_consumption(self) -> tuple[Consumption, ...]:
        """Return what accounts have used here since the last call.

        The other entries are told of it, so that an account can't multiply
        its share by using several entries.
        """
        consumptions = tuple(
            Consumption(service, client_account_id, tokens)
            for (service, client_account_id), tokens in (
                self._unsent_tokens.items()
            )
            if tokens
        )
        self._unsent_tokens.clear()
        return consumptions

    def apply_remote_consumption(
        self, consumptions: Iterable[Consumption]
    ) -> None:
        """Charge accounts for what they have used at another entry."""
        for consumption in consumptions:
            account = self._accounts.get(consumption.client_account_id)
            weight = account.weight if account else 1.0
            self._service(consumption.service).queue.charge_remote_consumption(
                consumption.client_account_id, consumption.tokens, weight
            )

    def expected_wait_s(
        self,
        client_account_id: ids.ClientAccountId,
        service_name: ids.ServiceName,
        now_s: float,
        priority: int = 0,
    ) -> float:
        """Return the expected wait of a new request, in seconds.

        Only the wait for the token bucket counts while nothing waits or the
        drain rate is unknown. The wait is infinite if the bucket is never
        refilled or the queue does not drain.
        """
        account = self._account(client_account_id, now_s)
        service = self._service(service_name)
        token_wait_s = account.token_wait_s(now_s)
        if not service.queue.waiting_count:
            return token_wait_s
        drain_rate = service.drain_rate.tokens_per_s()
        if drain_rate is None:
            return token_wait_s
        ahead_tokens = service.queue.tokens_ahead(
            client_account_id, priority, self._weight
        )
        queue_wait_s = (
            ahead_tokens / drain_rate if drain_rate > 0.0 else math.inf
        )
        return max(token_wait_s, queue_wait_s)

    def _ticket_wait_s(self, ticket: Ticket, now_s: float) -> float:
        return self.expected_wait_s(
            ticket.client_account_id, ticket.service, now_s, ticket.priority
        )

    def retry_after_s(self, wait_s: float) -> float:
        """Return the Retry-After for an expected wait, within the bounds."""
        settings = self._settings
        bounded_s = min(max(wait_s, settings.min_retry_after_s), math.inf)
        return min(bounded_s, settings.max_retry_after_s)

    def _check_queue_bounds(
        self,
        account: AccountState,
        service: _ServiceState,
        ticket: Ticket,
        now_s: float,
    ) -> None:
        if account.waiting_count >= account.limits.max_queued_count:
            raise self._refusal(
                'account_queue_full',
                'the client account has too many waiting requests',
                _TOO_MANY_REQUESTS,
                self._ticket_wait_s(ticket, now_s),
            )
        if service.queue.waiting_count >= self._settings.max_waiting_count:
            raise self._refusal(
                'queue_full',
                'the service has too many waiting requests',
                _SERVICE_UNAVAILABLE,
                self._ticket_wait_s(ticket, now_s),
            )

    def _check_expected_wait(
        self,
        account: AccountState,
        service: _ServiceState,
        ticket: Ticket,
        now_s: float,
        mean_duration_s: float,
    ) -> None:
        allowed_s = ticket.deadline_s - now_s
        token_wait_s = account.token_wait_s(now_s)
        if token_wait_s > allowed_s:
            raise self._refusal(
                'token_rate',
                'the client account has used up its token rate',
                _TOO_MANY_REQUESTS,
                token_wait_s,
            )
        wait_s = self._ticket_wait_s(ticket, now_s)
        settings = self._settings
        allowed_s = max(
            allowed_s * settings.max_wait_share,
            allowed_s - settings.run_reserve_factor * mean_duration_s,
        )
        if wait_s > allowed_s:
            raise self._refusal(
                'wait_exceeds_deadline',
                'the request would wait longer than its time limit allows',
                _SERVICE_UNAVAILABLE,
                wait_s - allowed_s,
            )

    def _refusal(
        self, code: str, message: str, status: int, wait_s: float
    ) -> RequestError:
        return RequestError(
            code,
            message,
            status=status,
            not_run=True,
            retry_after_s=self.retry_after_s(wait_s),
        )

    def _add_unsent_tokens(self, ticket: Ticket, tokens: float) -> None:
        key = (ticket.service, ticket.client_account_id)
        self._unsent_tokens[key] = self._unsent_tokens.get(key, 0.0) + tokens

    def _waited_share(self, ticket: Ticket, now_s: float) -> float:
        limit_s = ticket.deadline_s - ticket.enqueued_s
        return (now_s - ticket.enqueued_s) / limit_s if limit_s > 0 else 1.0

    def _weight(self, client_account_id: ids.ClientAccountId) -> float:
        return self._accounts[client_account_id].weight

    def _account(
        self, client_account_id: ids.ClientAccountId, now_s: float
    ) -> AccountState:
        state = self._accounts.get(client_account_id)
        if state is None:
            state = AccountState(self._default_limits, now_s)
            self._accounts[client_account_id] = state
        return state

    def _service(self, service: ids.ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        return state
