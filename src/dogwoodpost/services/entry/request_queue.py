"""Requests that wait for admission and for an endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission import TicketState
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from dogwoodpost.core.admission import Admission
    from dogwoodpost.core.routing import Router
    from dogwoodpost.ports.clock import Clock

# Room also appears without an event of this entry: by load reports, new
# endpoints and refilled token buckets.
_POLL_INTERVAL_S = 0.02
# Requests that the router can't place are passed over, up to this many.
_MAX_PASSED_OVER_COUNT = 16


class _Waiter(msgspec.Struct, kw_only=True, eq=False):
    """A waiting request and what wakes it."""

    ticket: Ticket
    query: RouteQuery
    attempt_id: ids.AttemptId
    future: asyncio.Future[Endpoint]


class RequestQueue:
    """Starts waiting requests in fair order as endpoints have room."""

    def __init__(
        self, admission: Admission, router: Router, clock: Clock
    ) -> None:
        self._admission = admission
        self._router = router
        self._clock = clock
        self._waiters: dict[int, _Waiter] = {}
        self._timers: dict[ids.ServiceName, asyncio.TimerHandle] = {}

    async def acquire(
        self, ticket: Ticket, query: RouteQuery, attempt_id: ids.AttemptId
    ) -> Endpoint:
        """Wait until the request may run; return its first endpoint.

        :raises RequestError: refused or expired; the request has not run.
        """
        now_s = self._clock.monotonic_s()
        if not self._router.has_endpoint(ticket.service):
            raise RequestError(
                'no_endpoint',
                'no endpoint of the service is available',
                status=503,
                not_run=True,
                retry_after_s=self._admission.retry_after_s(0.0),
            )
        self._admission.submit(ticket, now_s)
        waiter = _Waiter(
            ticket=ticket,
            query=query,
            attempt_id=attempt_id,
            future=asyncio.get_running_loop().create_future(),
        )
        self._waiters[id(ticket)] = waiter
        try:
            self.pump(ticket.service)
            return await self._wait(waiter, now_s)
        except BaseException:
            self._give_up(waiter)
            raise
        finally:
            del self._waiters[id(ticket)]

    def release(self, ticket: Ticket, actual_tokens: float) -> None:
        """End a request that :meth:`acquire` let through."""
        now_s = self._clock.monotonic_s()
        self._admission.finish(ticket, actual_tokens, now_s)
        self.pump(ticket.service)

    def pump(self, service: ids.ServiceName) -> None:
        """Start what can start now."""
        while self._start_one(service):
            pass
        if self._admission.waiting_count(service):
            self._schedule(service)

    def _start_one(self, service: ids.ServiceName) -> bool:
        now_s = self._clock.monotonic_s()
        waiting_count = self._admission.waiting_count(service)
        if not waiting_count:
            return False
        heads = self._admission.heads(service, now_s)
        for ticket in heads[:_MAX_PASSED_OVER_COUNT]:
            waiter = self._waiters[id(ticket)]
            query = msgspec.structs.replace(
                waiter.query, waiting_count=waiting_count - 1
            )
            endpoint = self._router.choose(query, now_s)
            if endpoint is None:
                continue
            self._admission.start(ticket, now_s)
            self._router.begin(
                endpoint.endpoint_id, waiter.attempt_id, query, now_s
            )
            waiter.future.set_result(endpoint)
            return True
        return False

    def _schedule(self, service: ids.ServiceName) -> None:
        if service in self._timers:
            return
        loop = asyncio.get_running_loop()
        self._timers[service] = loop.call_later(
            _POLL_INTERVAL_S, self._on_timer, service
        )

    def _on_timer(self, service: ids.ServiceName) -> None:
        del self._timers[service]
        self.pump(service)

    async def _wait(self, waiter: _Waiter, start_s: float) -> Endpoint:
        ticket = waiter.ticket
        try:
            async with asyncio.timeout(ticket.deadline_s - start_s):
                return await waiter.future
        except TimeoutError:
            now_s = self._clock.monotonic_s()
            wait_s = self._admission.expected_wait_s(
                ticket.client_account_id, ticket.service, now_s
            )
            raise RequestError(
                'expired_in_queue',
                'the time limit passed while the request was waiting',
                status=504,
                not_run=True,
                retry_after_s=self._admission.retry_after_s(wait_s),
            ) from None

    def _give_up(self, waiter: _Waiter) -> None:
        ticket = waiter.ticket
        now_s = self._clock.monotonic_s()
        if ticket.state is TicketState.WAITING:
            self._admission.withdraw(ticket, now_s)
        elif ticket.state is TicketState.RUNNING:
            # Cancelled after it was started and before it was woken.
            self._router.finish(
                ticket.service,
                waiter.future.result().endpoint_id,
                waiter.attempt_id,
                AttemptResult(failed=False, judged=False),
                now_s,
            )
            self.release(ticket, 0.0)
