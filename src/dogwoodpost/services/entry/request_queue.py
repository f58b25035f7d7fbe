"""Queue of the requests that wait for admission and an endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.core.admission import Dispatcher
from dogwoodpost.core.admission import TicketState
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.admission import Ticket
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import RouteQuery
    from dogwoodpost.core.routing import Router
    from dogwoodpost.ports.clock import Clock

# Load reports, new endpoints and refilled token buckets also make it possible
# to start requests, and none of them notifies the queue.
_POLL_INTERVAL_S = 0.02


class RequestQueue:
    """Suspends each request until the dispatcher starts it."""

    def __init__(
        self, admission: Admission, router: Router, clock: Clock
    ) -> None:
        self._admission = admission
        self._router = router
        self._clock = clock
        self._dispatcher = Dispatcher(admission, router)
        self._futures: dict[int, asyncio.Future[Endpoint]] = {}
        self._timers: dict[ids.ServiceName, asyncio.TimerHandle] = {}

    async def acquire(
        self, ticket: Ticket, query: RouteQuery, attempt_id: ids.AttemptId
    ) -> Endpoint:
        """Wait until the request may run; return its first endpoint.

        :param attempt_id: id under which the router counts the first attempt.
        :raises RequestError: the request was refused or its wait was too
            long; it has not run.
        """
        now_s = self._clock.monotonic_s()
        self._dispatcher.submit(ticket, query, attempt_id, now_s)
        future = asyncio.get_running_loop().create_future()
        self._futures[id(ticket)] = future
        try:
            self._start_ready(ticket.service)
            return await self._wait(ticket, future, now_s)
        except BaseException:
            self._abandon(ticket, future, attempt_id)
            raise
        finally:
            del self._futures[id(ticket)]

    def release(self, ticket: Ticket, actual_tokens: float) -> None:
        """End a request for which :meth:`acquire` returned an endpoint.

        :param actual_tokens: cost of its attempts.
        """
        now_s = self._clock.monotonic_s()
        self._admission.finish(ticket, actual_tokens, now_s)
        self._start_ready(ticket.service)

    def _start_ready(self, service: ids.ServiceName) -> None:
        now_s = self._clock.monotonic_s()
        for ticket in self._dispatcher.withdraw_late(service, now_s):
            self._futures[id(ticket)].set_exception(
                self._expired_error(ticket)
            )
        for overtaken in self._dispatcher.withdraw_overtaken(service, now_s):
            self._futures[id(overtaken.ticket)].set_exception(
                self._dispatcher.cold_error(overtaken.wait_s)
            )
        for started in self._dispatcher.start_ready(service, now_s):
            self._futures[id(started.ticket)].set_result(started.endpoint)
        waiting = self._admission.waiting_count(service) > 0
        if waiting and service not in self._timers:
            self._timers[service] = asyncio.get_running_loop().call_later(
                _POLL_INTERVAL_S, self._on_timer, service
            )

    def _on_timer(self, service: ids.ServiceName) -> None:
        del self._timers[service]
        self._start_ready(service)

    async def _wait(
        self, ticket: Ticket, future: asyncio.Future[Endpoint], start_s: float
    ) -> Endpoint:
        try:
            async with asyncio.timeout(ticket.deadline_s - start_s):
                return await asyncio.shield(future)
        except TimeoutError:
            raise self._expired_error(ticket) from None

    def _expired_error(self, ticket: Ticket) -> RequestError:
        wait_s = self._admission.expected_wait_s(
            ticket.client_account_id,
            ticket.service,
            self._clock.monotonic_s(),
            ticket.priority,
        )
        return RequestError(
            'expired_in_queue',
            'the request waited too long to end within its time limit',
            status=504,
            not_run=True,
            retry_after_s=self._admission.retry_after_s(wait_s),
        )

    def _abandon(
        self,
        ticket: Ticket,
        future: asyncio.Future[Endpoint],
        attempt_id: ids.AttemptId,
    ) -> None:
        now_s = self._clock.monotonic_s()
        if ticket.state is TicketState.WAITING:
            self._dispatcher.withdraw(ticket, now_s)
        elif ticket.state is TicketState.RUNNING:
            # The request was started, but cancelled before its task resumed.
            self._router.finish(
                ticket.service,
                future.result().endpoint_id,
                attempt_id,
                AttemptResult(failed=False, conclusive=False),
                now_s,
            )
            self.release(ticket, 0.0)
