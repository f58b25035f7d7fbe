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

# Requests that the router can't place now are passed over. The bounds limit
# the work for each place that becomes free.
_MAX_CONSIDERED_COUNT = 16
_ACCOUNT_DEPTH = 4
# A few typical requests; smaller differences come and go.
_BEHIND_TOKENS = 500.0


class Started(msgspec.Struct, frozen=True):
    """A request that starts now, and where."""

    ticket: Ticket
    endpoint: Endpoint


class _Waiting(msgspec.Struct, eq=False):
    """What the router needs to know of a waiting request."""

    query: RouteQuery
    attempt_id: ids.AttemptId
    passed_over_since_s: float | None = None


class Dispatcher:
    """Combines admission and routing for first attempts."""

    def __init__(self, admission: Admission, router: Router) -> None:
        self._admission = admission
        self._router = router
        self._waiting: dict[int, _Waiting] = {}

    def submit(
        self,
        ticket: Ticket,
        query: RouteQuery,
        attempt_id: ids.AttemptId,
        now_s: float,
    ) -> None:
        """Queue a request.

        :raises RequestError: the request is refused and has not run.
        """
        if not self._router.has_endpoint(ticket.service):
            raise RequestError(
                'no_endpoint',
                'no endpoint of the service is available',
                status=503,
                not_run=True,
                retry_after_s=self._admission.retry_after_s(0.0),
            )
        needed_s = self._router.duration_s(ticket.service)
        self._admission.submit(ticket, now_s, needed_s)
        self._waiting[id(ticket)] = _Waiting(query, attempt_id)

    def withdraw(self, ticket: Ticket, now_s: float) -> None:
        """Take a waiting request off its queue."""
        del self._waiting[id(ticket)]
        self._admission.withdraw(ticket, now_s)

    def withdraw_late(
        self, service: ids.ServiceName, now_s: float
    ) -> list[Ticket]:
        """Withdraw and return requests that would probably not end in time.

        They would take places from requests that can. A request that has not
        waited for long is tried however short its time limit is.
        """
        needed_s = self._router.duration_s(service)
        late = self._admission.late(service, needed_s, now_s)
        for ticket in late:
            self.withdraw(ticket, now_s)
        return late

    def start_ready(
        self, service: ids.ServiceName, now_s: float
    ) -> list[Started]:
        """Start what can start now; the attempts count from now on."""
        started: list[Started] = []
        while True:
            one = self._start_one(service, now_s)
            if one is None:
                return started
            started.append(one)

    def _start_one(
        self, service: ids.ServiceName, now_s: float
    ) -> Started | None:
        waiting_count = self._admission.waiting_count(service)
        if not waiting_count:
            return None
        heads = self._admission.heads(
            service, now_s, count=_MAX_CONSIDERED_COUNT, depth=_ACCOUNT_DEPTH
        )
        seen: set[ids.ClientAccountId] = set()
        for ticket in heads:
            waiting = self._waiting[id(ticket)]
            since_s = waiting.passed_over_since_s
            query = msgspec.structs.replace(
                waiting.query,
                waiting_count=waiting_count - 1,
                passed_over_s=0.0 if since_s is None else now_s - since_s,
                behind=self._admission.lag_tokens(ticket) > _BEHIND_TOKENS,
            )
            endpoint = self._router.choose(query, now_s)
            if endpoint is None:
                # Later requests of an account lose no patience before their
                # turn.
                first = ticket.client_account_id not in seen
                if since_s is None and first:
                    waiting.passed_over_since_s = now_s
                seen.add(ticket.client_account_id)
                continue
            del self._waiting[id(ticket)]
            self._admission.start(ticket, now_s)
            self._router.begin(
                endpoint.endpoint_id, waiting.attempt_id, query, now_s
            )
            return Started(ticket, endpoint)
        return None
