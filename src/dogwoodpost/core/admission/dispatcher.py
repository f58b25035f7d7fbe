"""Starts waiting requests in fair order as endpoints have room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission.ticket import Ticket
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.routing.route_query import RouteQuery
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core.admission.admission import Admission
    from dogwoodpost.core.routing.router import Router

# A request for which the router finds no endpoint now is passed over in favour
# of later ones. These limits bound the work per place that becomes free.
_MAX_CANDIDATE_COUNT = 16
_MAX_CANDIDATES_PER_ACCOUNT = 4
# An account that lags by more counts as behind. This is the cost of a few
# typical requests; smaller lags are short-term fluctuations.
_MIN_LAG_TOKENS = 500.0


class StartedRequest(msgspec.Struct, frozen=True):
    """A request that has started, and its endpoint."""

    ticket: Ticket
    endpoint: Endpoint


class OvertakenRequest(msgspec.Struct, frozen=True):
    """A withdrawn request, and how long it would have had to wait."""

    ticket: Ticket
    wait_s: float


class _PendingRequest(msgspec.Struct, eq=False):
    """Routing data of a waiting request.

    :param passed_over_since_s: when the router first found no endpoint for
        the request in its turn; None if it has not been passed over.
    """

    query: RouteQuery
    attempt_id: ids.AttemptId
    passed_over_since_s: float | None = None


class Dispatcher:
    """Combines admission and routing for the first attempts of requests."""

    def __init__(self, admission: Admission, router: Router) -> None:
        self._admission = admission
        self._router = router
        self._pending: dict[int, _PendingRequest] = {}
        self._overtaken_services: set[ids.ServiceName] = set()

    def submit(
        self,
        ticket: Ticket,
        query: RouteQuery,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        """Queue a request for its first attempt.

        :param attempt_id: id under which the router counts the attempt.
        :raises RequestError: the request is refused and has not run.
        """
        if not self._router.has_endpoint(query):
            raise self._no_endpoint_error(query)
        mean_duration_s = self._router.mean_duration_s(ticket.service)
        self._check_cold_wait(ticket, query, mean_duration_s, now_s)
        self._admission.submit(ticket, now_s, mean_duration_s)
        self._pending[id(ticket)] = _PendingRequest(query, attempt_id)

    def _check_cold_wait(
        self,
        ticket: Ticket,
        query: RouteQuery,
        mean_duration_s: float,
        now_s: float,
    ) -> None:
        """Refuse a request that has to wait too long for cold endpoints.

        :raises RequestError: the request would miss its deadline.
        """
        service = ticket.service
        ahead_count = self._admission.ahead_count(service, ticket.priority)
        wait_s = self._router.cold_wait_s(query, ahead_count, now_s)
        if wait_s is None:
            return
        # The rate at which cold endpoints drain the queue says nothing about
        # the time after that.
        self._admission.reset_drain_rate(service)
        if _misses_deadline(ticket, wait_s, mean_duration_s, now_s):
            raise self.cold_error(wait_s)
        if self._admission.waiting_count(service) > ahead_count:
            self._overtaken_services.add(service)

    def cold_error(self, wait_s: float) -> RequestError:
        """Return the refusal of a request that can't wait for ``wait_s``."""
        return RequestError(
            'endpoints_cold',
            'all endpoints have just started and take few requests',
            status=503,
            not_run=True,
            retry_after_s=self._admission.retry_after_s(wait_s),
        )

    def _no_endpoint_error(self, query: RouteQuery) -> RequestError:
        code = 'no_endpoint'
        message = 'no endpoint of the service is available'
        if query.allowed_regions.is_empty:
            code = 'no_allowed_region'
            message = (
                'route and client account have no allowed region in common'
            )
        elif query.allowed_regions.is_limited:
            message += ' in the allowed regions'
        return RequestError(
            code,
            message,
            status=503,
            not_run=True,
            retry_after_s=self._admission.retry_after_s(0.0),
        )

    def withdraw(self, ticket: Ticket, now_s: float) -> None:
        """Dequeue a waiting request without starting it."""
        del self._pending[id(ticket)]
        self._admission.withdraw(ticket, now_s)

    def withdraw_late(
        self, service: ids.ServiceName, now_s: float
    ) -> list[Ticket]:
        """Withdraw and return requests that would probably miss the deadline.

        They would take places from requests that can meet theirs. A request
        that has waited for no more than ``max_wait_share`` of its time limit
        is still tried, however short the limit is.
        """
        mean_duration_s = self._router.mean_duration_s(service)
        late_tickets = self._admission.late_tickets(
            service, mean_duration_s, now_s
        )
        for ticket in late_tickets:
            self.withdraw(ticket, now_s)
        return late_tickets

    def withdraw_overtaken(
        self, service: ids.ServiceName, now_s: float
    ) -> list[OvertakenRequest]:
        """Withdraw and return requests that cold endpoints can't serve now.

        More urgent requests have taken their places since they were queued.
        """
        if service not in self._overtaken_services:
            return []
        self._overtaken_services.remove(service)
        mean_duration_s = self._router.mean_duration_s(service)
        overtaken: list[OvertakenRequest] = []
        ahead_count = 0
        for ticket in self._admission.waiting_tickets(service):
            query = self._pending[id(ticket)].query
            wait_s = self._router.cold_wait_s(query, ahead_count, now_s)
            if wait_s is not None and _misses_deadline(
                ticket, wait_s, mean_duration_s, now_s
            ):
                self.withdraw(ticket, now_s)
                overtaken.append(OvertakenRequest(ticket, wait_s))
            else:
                ahead_count += 1
        return overtaken

    def start_ready(
        self, service: ids.ServiceName, now_s: float
    ) -> list[StartedRequest]:
        """Start the requests that can start now.

        The router counts their attempts from now on.
        """
        started: list[StartedRequest] = []
        while True:
            started_request = self._start_next(service, now_s)
            if started_request is None:
                return started
            started.append(started_request)

    def _start_next(
        self, service: ids.ServiceName, now_s: float
    ) -> StartedRequest | None:
        waiting_count = self._admission.waiting_count(service)
        if not waiting_count:
            return None
        candidates = self._admission.startable_tickets(
            service,
            now_s,
            max_count=_MAX_CANDIDATE_COUNT,
            max_per_account=_MAX_CANDIDATES_PER_ACCOUNT,
        )
        visited_accounts: set[ids.ClientAccountId] = set()
        for ticket in candidates:
            pending = self._pending[id(ticket)]
            since_s = pending.passed_over_since_s
            query = msgspec.structs.replace(
                pending.query,
                waiting_count=waiting_count - 1,
                passed_over_s=0.0 if since_s is None else now_s - since_s,
                account_underserved=self._admission.lag_tokens(ticket)
                > _MIN_LAG_TOKENS,
            )
            endpoint = self._router.choose(query, now_s)
            if endpoint is None:
                # The time in which an account's later requests are not yet
                # in turn does not count as passed over.
                is_in_turn = ticket.client_account_id not in visited_accounts
                if since_s is None and is_in_turn:
                    pending.passed_over_since_s = now_s
                visited_accounts.add(ticket.client_account_id)
                continue
            del self._pending[id(ticket)]
            self._admission.start(ticket, now_s)
            self._router.begin(
                endpoint.endpoint_id, pending.attempt_id, query, now_s
            )
            return StartedRequest(ticket, endpoint)
        return None


def _misses_deadline(
    ticket: Ticket, wait_s: float, mean_duration_s: float, now_s: float
) -> bool:
    """Return whether a request that has to wait would end too late."""
    return wait_s > 0.0 and now_s + wait_s + mean_duration_s > (
        ticket.deadline_s
    )
