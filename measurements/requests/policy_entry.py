"""Entry with the request policy of the project."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import actual_cost_tokens
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import Dispatcher
from dogwoodpost.core.admission import estimated_cost_tokens
from dogwoodpost.core.admission import MIN_COST_TOKENS
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission import TicketState
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.retries import RetryBudget
from dogwoodpost.core.retries import RetryPolicy
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import RequestError
from measurements.requests.entry_base import EntryBase
from measurements.requests.workload import MAX_TOKENS

if TYPE_CHECKING:
    from dogwoodpost.core.routing import EndpointListener
    from measurements.requests.entry_base import Record
    from measurements.requests.environment import Attempt
    from measurements.requests.environment import Environment
    from measurements.requests.user import Zone

_POLL_INTERVAL_S = 0.02
# High enough that fair queueing, not a fixed limit, decides the order.
_LIMITS = Limits(max_concurrency=512, token_rate_per_s=1e6)


class _OpenRequest(msgspec.Struct, kw_only=True, eq=False):
    """A request in progress."""

    ticket: Ticket
    query: RouteQuery
    tried_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    cost_tokens: float = 0.0


class PolicyEntry(EntryBase):
    """Applies admission, routing and retries as the request pipeline does."""

    def __init__(self, environment: Environment, zone: Zone) -> None:
        super().__init__(environment, zone)
        self._rng = random.Random(f'{environment.user.seed}/{zone.name}')
        self.router = Router(
            ids.AvailabilityZone(zone.name),
            ids.Region(zone.region),
            self._rng,
        )
        self.admission = Admission()
        self._dispatcher = Dispatcher(self.admission, self.router)
        self._policy = RetryPolicy()
        self._budgets: dict[str, RetryBudget] = {}
        self._open_requests: dict[str, _OpenRequest] = {}
        self._record_by_ticket: dict[int, Record] = {}
        self._attempt_ids: dict[int, str] = {}
        self._polling: set[str] = set()

    @property
    def listener(self) -> EndpointListener:
        """Return the listener that receives changes of the directory."""
        return self.router

    def place(self, record: Record) -> None:
        """Queue a request."""
        request = record.request
        now_s = self.environment.loop.now_s
        query = RouteQuery(
            service=ids.ServiceName(request.service),
            prefix=request.prefix,
            prompt_tokens=request.prompt_tokens,
            volume_bytes=request.body_bytes,
            concurrency=self.environment.concurrency(request.service),
            may_probe=request.idempotent,
        )
        ticket = Ticket(
            request_id=ids.RequestId(str(request.number)),
            client_account_id=ids.ClientAccountId(request.account),
            service=query.service,
            estimated_tokens=self._estimate(record),
            deadline_s=request.arrival_s + request.timeout_s,
            enqueued_s=now_s,
        )
        self.admission.set_limits(ticket.client_account_id, _LIMITS, now_s)
        attempt_id = self.new_attempt_id()
        try:
            self._dispatcher.submit(
                ticket, query, ids.AttemptId(attempt_id), now_s
            )
        except RequestError as error:
            self.close(record, error.code)
            return
        self._open_requests[ticket.request_id] = _OpenRequest(
            ticket=ticket, query=query
        )
        self._record_by_ticket[id(ticket)] = record
        self._attempt_ids[id(ticket)] = attempt_id
        self._start_ready_requests(request.service)

    def retry(self, record: Record, attempt: Attempt) -> None:
        """Place a failed request again within the retry budget."""
        open_request = self._open_requests[str(record.request.number)]
        open_request.tried_endpoint_ids |= {
            ids.EndpointId(attempt.endpoint_id)
        }
        now_s = self.environment.loop.now_s
        delay_s = self._policy.delay_s(
            record.attempt_count,
            open_request.ticket.deadline_s - now_s,
            self._budget(record.request.service),
            self._rng,
            now_s,
        )
        if delay_s is None:
            self.close(record, 'failed')
            return
        self.environment.loop.after(
            delay_s, lambda: self._send_retry(record, open_request)
        )

    def on_attempt_closed(
        self, attempt: Attempt, *, failed: bool, cached_tokens: int
    ) -> None:
        """Report the result of the attempt to the router."""
        request = attempt.request
        now_s = self.environment.loop.now_s
        ran = attempt.started_s is not None
        cost_tokens = actual_cost_tokens(
            request.prompt_tokens, cached_tokens, request.completion_tokens
        )
        if not request.prompt_tokens:
            cost_tokens = MIN_COST_TOKENS
        if ran:
            self._open_requests[str(request.number)].cost_tokens += cost_tokens
        expired = now_s >= request.arrival_s + request.timeout_s
        self.router.finish(
            ids.ServiceName(request.service),
            ids.EndpointId(attempt.endpoint_id),
            ids.AttemptId(attempt.attempt_id),
            AttemptResult(
                failed=failed,
                conclusive=failed or not expired,
                duration_s=now_s - attempt.sent_s,
                work_units=cost_tokens,
            ),
            now_s,
        )

    def on_closed(self, record: Record) -> None:
        """Withdraw the request, or release its admission."""
        open_request = self._open_requests.pop(
            str(record.request.number), None
        )
        if open_request is None:
            return
        now_s = self.environment.loop.now_s
        ticket = open_request.ticket
        del self._record_by_ticket[id(ticket)]
        if ticket.state is TicketState.WAITING:
            self._dispatcher.withdraw(ticket, now_s)
        elif ticket.state is TicketState.RUNNING:
            self.admission.finish(ticket, open_request.cost_tokens, now_s)
        self._start_ready_requests(record.request.service)

    def _estimate(self, record: Record) -> float:
        if not record.request.prompt_tokens:
            return MIN_COST_TOKENS
        return estimated_cost_tokens(record.request.prompt_tokens, MAX_TOKENS)

    def _budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())

    def _send_retry(self, record: Record, open_request: _OpenRequest) -> None:
        if record.outcome:
            return
        now_s = self.environment.loop.now_s
        query = msgspec.structs.replace(
            open_request.query, requires_free_slot=False
        )
        untried = msgspec.structs.replace(
            query, excluded=open_request.tried_endpoint_ids
        )
        endpoint = self.router.choose(untried, now_s)
        endpoint = endpoint or self.router.choose(query, now_s)
        if endpoint is None:
            self.close(record, 'failed')
            return
        attempt_id = self.new_attempt_id()
        self.router.begin(
            endpoint.endpoint_id, ids.AttemptId(attempt_id), query, now_s
        )
        self.send(record, endpoint.endpoint_id, attempt_id)

    def _start_ready_requests(self, service: str) -> None:
        now_s = self.environment.loop.now_s
        name = ids.ServiceName(service)
        for ticket in self._dispatcher.withdraw_late(name, now_s):
            self.close(self._record_by_ticket[id(ticket)], 'expired')
        for started in self._dispatcher.start_ready(name, now_s):
            record = self._record_by_ticket[id(started.ticket)]
            attempt_id = self._attempt_ids.pop(id(started.ticket))
            self._budget(service).record_first_attempt(now_s)
            self.send(record, started.endpoint.endpoint_id, attempt_id)
        waiting = self.admission.waiting_count(name) > 0
        if waiting and service not in self._polling:
            self._polling.add(service)
            self.environment.loop.after(
                _POLL_INTERVAL_S, lambda: self._poll(service)
            )

    def _poll(self, service: str) -> None:
        self._polling.discard(service)
        self._start_ready_requests(service)
