"""Limits what this process sends to endpoints that may be cold."""

from __future__ import annotations

from collections import deque
from typing import Protocol
from typing import TYPE_CHECKING

from dogwoodpost.core.cold_starts.cold_tracker import DoubtReason
from dogwoodpost.core.cold_starts.send_share import send_share

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.cold_starts.cold_tracker import ColdTracker
    from dogwoodpost.core.configuration import ColdStart
    from dogwoodpost.core.routing.endpoint import Endpoint

_WINDOW_S = 1.0
# A sender counts for this long after its last need for a place.
_NEED_S = 10.0
# Endpoints whose sends are kept; those without recent ones are dropped then.
_MAX_ENDPOINT_COUNT = 4_096


class SenderView(Protocol):
    """Knows the processes that send to cold endpoints of a service."""

    def senders(
        self, service: ids.ServiceName, now_s: float
    ) -> Collection[ids.ProcessId]:
        """Return the known senders, empty if this process may not send.

        If two processes may both send at a time, each knows the other.
        """


class ColdStartLimiter:
    """Decides whether a request may be sent to an endpoint now.

    Warm endpoints are not limited. A cold one gets at most the process's
    share of its allowance in any second. Times are seconds of the process's
    monotonic clock.

    :param overage: factor on the tolerated rate up to which requests are sent.
    :param terms: returns the terms of a service, None if its endpoints are
        never cold.
    """

    def __init__(
        self,
        process_id: ids.ProcessId,
        tracker: ColdTracker,
        view: SenderView,
        terms: Callable[[ids.ServiceName], ColdStart | None],
        *,
        overage: float,
    ) -> None:
        self._process_id = process_id
        self._tracker = tracker
        self._view = view
        self._terms = terms
        self._overage = overage
        self._sent_s: dict[ids.EndpointId, deque[float]] = {}
        self._needed_s: dict[ids.ServiceName, float] = {}

    def limits(self, service: ids.ServiceName) -> bool:
        """Return whether the endpoints of a service can be cold."""
        return self._terms(service) is not None

    def note_need(self, service: ids.ServiceName, now_s: float) -> None:
        """Record that work of a service needs a place."""
        if self.limits(service):
            self._needed_s[service] = now_s

    def needed_services(self, now_s: float) -> tuple[ids.ServiceName, ...]:
        """Return the services with recent work, whose endpoints can be cold.

        Other processes have to know of them before this one sends to a cold
        endpoint.
        """
        return tuple(
            service
            for service, needed_s in sorted(self._needed_s.items())
            if now_s - needed_s < _NEED_S
        )

    def is_cold(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether an endpoint is cold or may be."""
        terms = self._terms(endpoint.service)
        return terms is not None and self._tracker.is_cold(
            endpoint.endpoint_id, terms.duration_s, now_s
        )

    def wait_s(
        self,
        service: ids.ServiceName,
        endpoints: Iterable[Endpoint],
        waiting_count: int,
        now_s: float,
    ) -> float | None:
        """Return how long a request waits at most if all endpoints are cold.

        The wait ends when the endpoints are warm, or sooner if this process's
        shares of what they bear suffice for the requests ahead: each second
        has places for one more share.

        :param endpoints: endpoints that may serve the request.
        :param waiting_count: requests of the service that wait already.
        :returns: None if one of the endpoints is warm, or there is none.
        """
        terms = self._terms(service)
        if terms is None:
            return None
        self.note_need(service, now_s)
        has_cold = False
        share_per_s = 0
        ahead_count = waiting_count
        for endpoint in endpoints:
            if not self.is_cold(endpoint, now_s):
                return None
            has_cold = True
            share_per_s += self.share_per_s(endpoint, now_s)
            ahead_count += self.recent_count(endpoint.endpoint_id, now_s)
        if not has_cold:
            return None
        if not share_per_s:
            return terms.duration_s
        share_wait_s = ahead_count // share_per_s * _WINDOW_S
        return min(terms.duration_s, share_wait_s)

    def may_send(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if not self.is_cold(endpoint, now_s):
            return True
        share = self.share_per_s(endpoint, now_s)
        return self.recent_count(endpoint.endpoint_id, now_s) < share

    def share_per_s(self, endpoint: Endpoint, now_s: float) -> int:
        """Return how many requests a cold endpoint may get in a second."""
        terms = self._terms(endpoint.service)
        sender_ids = self._view.senders(endpoint.service, now_s)
        if terms is None or self._process_id not in sender_ids:
            return 0
        return send_share(
            int(terms.rate_per_s * self._overage),
            endpoint.endpoint_id,
            self._process_id,
            sender_ids,
        )

    def record_send(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that a request is sent to an endpoint, cold or not."""
        if not self.limits(endpoint.service):
            return
        if len(self._sent_s) >= _MAX_ENDPOINT_COUNT:
            self._drop_idle(now_s)
        sent_s = self._sent_s.setdefault(endpoint.endpoint_id, deque())
        sent_s.append(now_s)
        _drop_old(sent_s, now_s)

    def record_result(
        self, endpoint_id: ids.EndpointId, *, failed: bool, now_s: float
    ) -> None:
        """Record the end of a request at an endpoint."""
        if failed:
            self._tracker.doubt([endpoint_id], DoubtReason.FAILED_CALL, now_s)
        else:
            self._tracker.note_answer(endpoint_id, now_s)

    def recent_count(self, endpoint_id: ids.EndpointId, now_s: float) -> int:
        """Return how many requests were sent within the last second."""
        sent_s = self._sent_s.get(endpoint_id)
        if sent_s is None:
            return 0
        _drop_old(sent_s, now_s)
        return len(sent_s)

    def _drop_idle(self, now_s: float) -> None:
        for endpoint_id in list(self._sent_s):
            if not self.recent_count(endpoint_id, now_s):
                del self._sent_s[endpoint_id]


def _drop_old(sent_s: deque[float], now_s: float) -> None:
    while sent_s and now_s - sent_s[0] > _WINDOW_S:
        sent_s.popleft()
