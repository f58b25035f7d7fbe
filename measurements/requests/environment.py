"""Simulated endpoints, links and directory, the same for all policies."""

from __future__ import annotations

import random
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.routing import Endpoint
from measurements.requests.case import DURATION_S
from measurements.requests.engine import Engine
from measurements.requests.engine import MAX_BATCH_COUNT
from measurements.requests.engine import Work
from measurements.requests.event_loop import EventLoop
from measurements.requests.workload import PLAIN_DURATION_S
from measurements.requests.workload import PLAIN_PER_S_PER_ENDPOINT
from measurements.requests.workload import Request

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core.routing import EndpointListener
    from measurements.requests.case import Case
    from measurements.requests.user import User
    from measurements.requests.user import Zone

PLAIN_BATCH_COUNT = 8
_SAME_ZONE_DELAY_S = 0.0002
_SILENCE_TIMEOUT_S = 3.0
_REJOIN_DELAY_S = 1.0
_LOAD_INTERVAL_S = 1.0
_LOAD_REPORT_DELAY_S = 0.5
_CACHE_INTERVAL_S = 0.5
_CACHE_REPORT_DELAY_S = 0.3
_LOST_CACHE_REPORT_SHARE = 0.02
_RESPONSE_BYTES_PER_TOKEN = 20
_SLOW_SPEED_FACTOR = 0.2
_MS_PER_S = 1_000
_REPORTS_END_S = DURATION_S + 30.0


class Attempt(msgspec.Struct, kw_only=True, eq=False):
    """An attempt on its way between an entry and an endpoint."""

    attempt_id: str
    request: Request
    endpoint_id: str
    entry: Entry
    sent_s: float
    started_s: float | None = None
    served_s: float = 0.0
    done: bool = False
    work: Work | None = None


class Entry(Protocol):
    """Interface that the environment needs of an entry."""

    zone: Zone

    def attempt_ended(
        self, attempt: Attempt, ok: bool, cached_tokens: int
    ) -> None:
        """Handle the result of an attempt."""

    def attempt_unknown(self, attempt: Attempt) -> None:
        """Handle an attempt whose agent has become unreachable."""


class Environment:
    """Simulated system around the entries in one run of a case."""

    def __init__(self, user: User, case: Case) -> None:
        self.loop = EventLoop()
        self.user = user
        self.case = case
        self.cross_region_bytes = 0
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self.started: list[Request] = []
        self.engines: dict[str, Engine] = {}
        self._rng = random.Random(f'{user.seed}/world')
        self._zones = {zone.name: zone for zone in user.zones}
        self._zone_by_endpoint: dict[str, Zone] = {}
        self._service_by_endpoint: dict[str, str] = {}
        self._listeners: list[tuple[Entry, EndpointListener]] = []
        self._sequences: dict[str, int] = {}
        # A dictionary, because a set of objects would not keep the order.
        self._attempts: dict[int, Attempt] = {}
        self._links_paused = False
        for zone in user.zones:
            self._add_engines(zone)

    def _add_engines(self, zone: Zone) -> None:
        for number in range(zone.sampler_count):
            name = f'sampler-{zone.name}-{number}'
            self.engines[name] = Engine(name, self.loop)
            self._zone_by_endpoint[name] = zone
            self._service_by_endpoint[name] = self.user.model_service
        for number in range(zone.plain_count):
            name = f'plain-{zone.name}-{number}'
            self.engines[name] = Engine(
                name,
                self.loop,
                rate=PLAIN_PER_S_PER_ENDPOINT,
                request_rate=1.0 / PLAIN_DURATION_S,
                batch_count=PLAIN_BATCH_COUNT,
                cache_blocks=0,
            )
            self._zone_by_endpoint[name] = zone
            self._service_by_endpoint[name] = self.user.plain_service

    def concurrency(self, service: str) -> int:
        """Return the configured concurrency of a service's endpoints."""
        if service == self.user.model_service:
            return MAX_BATCH_COUNT
        return PLAIN_BATCH_COUNT

    def join(self, entry: Entry, listener: EndpointListener) -> None:
        """Announce all endpoints to an entry, now and after changes."""
        self._listeners.append((entry, listener))
        for name in self.engines:
            listener.upsert(self.endpoint(name), 0.0)

    def endpoint(self, name: str, *, ready: bool = True) -> Endpoint:
        """Return an endpoint as the directory describes it."""
        zone = self._zone_by_endpoint[name]
        return Endpoint(
            endpoint_id=ids.EndpointId(name),
            service=ids.ServiceName(self._service_by_endpoint[name]),
            host_id=ids.HostId(name),
            availability_zone=ids.AvailabilityZone(zone.name),
            region=ids.Region(zone.region),
            agent_id=ids.ProcessId(name),
            agent_incarnation=ids.Incarnation('1'),
            agent_address='',
            ready=ready,
        )

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its endpoint."""
        engine = self.engines[attempt.endpoint_id]
        self._attempts[id(attempt)] = attempt

        def started() -> None:
            attempt.started_s = self.loop.now_s
            if work.prompt_tokens:
                self.cached_tokens += work.cached_tokens
                self.prompt_tokens += work.prompt_tokens
                self.started.append(attempt.request)

        def ended(ok: bool, cached_tokens: int) -> None:
            if attempt.started_s is not None:
                attempt.served_s = self.loop.now_s - attempt.started_s
            size_bytes = (
                attempt.request.completion_tokens * _RESPONSE_BYTES_PER_TOKEN
            )
            self._transfer(
                attempt,
                size_bytes,
                lambda: self._deliver(attempt, ok, cached_tokens),
            )

        request = attempt.request
        work = Work(
            prefix=request.prefix,
            prompt_tokens=request.prompt_tokens,
            completion_tokens=max(request.completion_tokens, 1),
            priority=0,
            on_start=started,
            on_end=ended,
        )
        attempt.work = work

        def arrived() -> None:
            if not attempt.done:
                engine.submit(work)

        self._transfer(attempt, request.body_bytes, arrived)

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt; its agent cancels the work at the engine."""
        if attempt.done:
            return
        attempt.done = True
        self._attempts.pop(id(attempt), None)
        work = attempt.work
        if work is not None:
            engine = self.engines[attempt.endpoint_id]
            self._transfer(attempt, 0, lambda: engine.cancel(work))

    def schedule_faults(self) -> None:
        """Schedule the faults of the case and the periodic reports."""
        case = self.case
        faulty_name = next(iter(self.engines))
        if case.crash is not None:
            start_s, end_s = case.crash
            self.loop.at(start_s, lambda: self._crash(faulty_name))
            self.loop.at(end_s, lambda: self._restart(faulty_name))
        if case.slow is not None:
            start_s, end_s = case.slow
            engine = self.engines[faulty_name]
            self.loop.at(start_s, lambda: engine.set_speed(_SLOW_SPEED_FACTOR))
            self.loop.at(end_s, lambda: engine.set_speed(1.0))
        if case.pause is not None:
            start_s, end_s = case.pause
            self.loop.at(start_s, self._pause)
            self.loop.at(start_s + _SILENCE_TIMEOUT_S, self._notice_silence)
            self.loop.at(end_s, self._resume)
        self.loop.every(_LOAD_INTERVAL_S, _REPORTS_END_S, self._report_loads)
        self.loop.every(_CACHE_INTERVAL_S, _REPORTS_END_S, self._report_caches)

    def _transfer(
        self, attempt: Attempt, size_bytes: int, arrive: Callable[[], None]
    ) -> None:
        origin = attempt.entry.zone
        target = self._zone_by_endpoint[attempt.endpoint_id]
        if origin.region != target.region:
            self.cross_region_bytes += size_bytes
        self._over_link(origin, target, arrive)

    def send_between(
        self, origin: Zone, target: Zone, arrive: Callable[[], None]
    ) -> None:
        """Send a message from entry to entry."""
        self._over_link(origin, target, arrive)

    def _over_link(
        self, origin: Zone, target: Zone, arrive: Callable[[], None]
    ) -> None:
        delay_s = self._delay_s(origin, target)
        start_s = self.loop.now_s
        if self._is_cut(origin, target) and self.case.pause is not None:
            start_s = self.case.pause[1]
        self.loop.at(start_s + delay_s, arrive)

    def _delay_s(self, origin: Zone, target: Zone) -> float:
        if origin.name == target.name:
            return _SAME_ZONE_DELAY_S
        if origin.region == target.region:
            return self.user.zone_delay_s
        return self.user.region_delay_s

    def _is_cut(self, origin: Zone, target: Zone) -> bool:
        if not self._links_paused or origin.region == target.region:
            return False
        return self.user.zones[0].region in (origin.region, target.region)

    def _deliver(self, attempt: Attempt, ok: bool, cached_tokens: int) -> None:
        if attempt.done:
            return
        attempt.done = True
        self._attempts.pop(id(attempt), None)
        attempt.entry.attempt_ended(attempt, ok, cached_tokens)

    def _crash(self, faulty_name: str) -> None:
        self.engines[faulty_name].crash()
        self.loop.after(
            _SILENCE_TIMEOUT_S, lambda: self._announce(faulty_name)
        )

    def _restart(self, faulty_name: str) -> None:
        self.engines[faulty_name].up = True
        self.loop.after(_REJOIN_DELAY_S, lambda: self._announce(faulty_name))

    def _announce(self, name: str) -> None:
        endpoint = self.endpoint(name, ready=self.engines[name].up)
        for _, listener in self._listeners:
            listener.upsert(endpoint, self.loop.now_s)

    def _pause(self) -> None:
        self._links_paused = True

    def _notice_silence(self) -> None:
        for entry, listener in self._listeners:
            for name, zone in self._zone_by_endpoint.items():
                if self._is_cut(entry.zone, zone):
                    endpoint_id = ids.EndpointId(name)
                    listener.remove(endpoint_id, self.loop.now_s)
        for attempt in list(self._attempts.values()):
            zone = self._zone_by_endpoint[attempt.endpoint_id]
            if self._is_cut(attempt.entry.zone, zone):
                self._report_unknown(attempt)

    def _report_unknown(self, attempt: Attempt) -> None:
        attempt.done = True
        self._attempts.pop(id(attempt), None)
        if attempt.work is not None:
            # An agent cancels the work of an entry that is unreachable.
            self.engines[attempt.endpoint_id].cancel(attempt.work)
        attempt.entry.attempt_unknown(attempt)

    def _resume(self) -> None:
        self._links_paused = False
        self.loop.after(_REJOIN_DELAY_S, self._rejoin)

    def _rejoin(self) -> None:
        for name in self.engines:
            self._announce(name)

    def _report_loads(self) -> None:
        for name, engine in self.engines.items():
            if not engine.up:
                continue
            for entry, listener in self._listeners:
                delay_s = _LOAD_REPORT_DELAY_S + self._delay_s(
                    self._zone_by_endpoint[name], entry.zone
                )
                load = messages.EndpointLoad(
                    endpoint_id=ids.EndpointId(name),
                    running_count=engine.running_count,
                    waiting_count=engine.waiting_count,
                    age_ms=int(delay_s * _MS_PER_S),
                )
                self._report(
                    name, entry, delay_s, self._load_call(listener, load)
                )

    def _load_call(
        self, listener: EndpointListener, load: messages.EndpointLoad
    ) -> Callable[[], None]:
        return lambda: listener.report_load(load, self.loop.now_s)

    def _report_caches(self) -> None:
        for name, engine in self.engines.items():
            count = len(engine.stored) + len(engine.evicted)
            if not count and not engine.cleared:
                continue
            sequence = self._sequences.get(name, 1)
            self._sequences[name] = sequence + count
            events = messages.CacheEvents(
                sender_id=ids.ProcessId(name),
                sender_incarnation=ids.Incarnation('1'),
                sender_address='',
                endpoint_id=ids.EndpointId(name),
                first_sequence=sequence,
                stored=tuple(engine.stored),
                evicted=tuple(engine.evicted),
                cleared=engine.cleared,
            )
            engine.stored, engine.evicted = [], []
            engine.cleared = False
            for entry, listener in self._listeners:
                if self._rng.random() < _LOST_CACHE_REPORT_SHARE:
                    continue
                self._report(
                    name,
                    entry,
                    _CACHE_REPORT_DELAY_S,
                    self._cache_call(listener, events),
                )

    def _cache_call(
        self, listener: EndpointListener, events: messages.CacheEvents
    ) -> Callable[[], None]:
        return lambda: listener.record_cache_events(events, self.loop.now_s)

    def _report(
        self,
        name: str,
        entry: Entry,
        delay_s: float,
        arrive: Callable[[], None],
    ) -> None:
        """Deliver a report unless the link is cut."""

        def deliver() -> None:
            if not self._is_cut(self._zone_by_endpoint[name], entry.zone):
                arrive()

        self.loop.after(delay_s, deliver)
