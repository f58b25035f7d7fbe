"""Stand-in for an endpoint of the platform: an engine or a plain service."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from collections import deque

_EVENT_INTERVAL_S = 0.005
_MS_PER_S = 1_000
_BASE_VERSION = 1
_BORN_MS = 1_700_000_000_000


class SamplerFault(Enum):
    """Fault injected into one request."""

    FULL = 'full'
    RESET = 'reset'
    FAIL = 'fail'
    NEVER = 'never'
    CUT_STREAM = 'cut_stream'
    CUT_AFTER_LAST_EVENT = 'cut_after_last_event'
    OTHER_RESPONSE = 'other_response'
    SILENT = 'silent'


class ReceivedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as an endpoint received it."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ReceivedOrder(msgspec.Struct, kw_only=True, rename='camel'):
    """An order as an endpoint received it.

    :param received_s: event loop time of receipt, in seconds.
    """

    operation: str
    model: str
    version: int
    mode: str
    holder: str
    fencing_token: int
    expected: int | None = None
    received_s: float = 0.0


class SamplerApp:
    """State and handlers of one endpoint.

    :param event_count: number of events in each stream; 0 for a plain service,
        which responds after ``work_s`` seconds.
    :param models: models that are loaded at the start.
    :param faults: faults of the next requests, one each.
    """

    def __init__(
        self,
        endpoint_id: str,
        *,
        event_count: int = 0,
        models: tuple[str, ...] = (),
        faults: deque[SamplerFault] | None = None,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.versions = dict.fromkeys(models, _BASE_VERSION)
        self.faults = faults
        self.requests: list[ReceivedRequest] = []
        self.runs: Counter[str] = Counter()
        self.orders: list[ReceivedOrder] = []
        self.load_s = 0.05
        self.work_s = 0.0
        self.event_gap_s = _EVENT_INTERVAL_S
        self.born_ms = _BORN_MS
        # Values of the ``Server-Leaving`` header, which announces a planned
        # stop; sent with all responses.
        self.leaving_values: tuple[str, ...] = ()
        # A cold endpoint crashes if it gets more requests in a second.
        self.cold_limit_per_s = float('inf')
        self.arrivals_s: list[float] = []
        self.is_crashed = False
        self._warm_at_s = 0.0
        self._sequence = 0
        self._event_count = event_count
        self._is_busy = False

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(handler_args={'handler_cancellation': True})
        app.on_response_prepare.append(self._add_leaving_header)
        app.router.add_get('/api/report', self._report)
        app.router.add_post('/api/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    def entry(
        self, service: str, address: str, zone: str, state: str = 'ready'
    ) -> bytes:
        """Return the entry of the endpoint in service discovery."""
        self._sequence += 1
        return msgspec.json.encode(
            {
                'service': service,
                'address': address,
                'zone': zone,
                'version': 'v1',
                'slots': 8,
                'state': state,
                'coldRemainingMs': round(self.cold_remaining_s * _MS_PER_S),
                'born': self.born_ms,
                'sequence': self._sequence,
                'models': self._models(),
            }
        )

    @property
    def cold_remaining_s(self) -> float:
        """Return how long the endpoint stays cold."""
        return max(self._warm_at_s - time.monotonic(), 0.0)

    def become_cold(self, duration_s: float) -> None:
        """Tolerate few requests from now on, as after a start."""
        self._warm_at_s = time.monotonic() + duration_s

    def most_arrivals_in_a_second(self) -> int:
        """Return the largest number of requests in any second."""
        counts = (
            sum(
                start_s <= arrival_s < start_s + 1.0
                for arrival_s in self.arrivals_s
            )
            for start_s in self.arrivals_s
        )
        return max(counts, default=0)

    def _record_arrival(self) -> None:
        now_s = time.monotonic()
        self.arrivals_s.append(now_s)
        recent_count = sum(
            arrival_s > now_s - 1.0 for arrival_s in self.arrivals_s
        )
        if self.cold_remaining_s and recent_count > self.cold_limit_per_s:
            self.is_crashed = True

    async def _add_leaving_header(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        for value in self.leaving_values:
            response.headers.add('Server-Leaving', value)

    async def _report(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                'models': self._models(),
                'busy': self._is_busy,
                'sequence': len(self.orders),
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=ReceivedOrder)
        if self._is_busy or order.expected != len(self.orders):
            return web.Response(status=409)
        if self.versions.get(order.model, 0) >= order.version:
            return web.Response(status=200)
        order.received_s = asyncio.get_running_loop().time()
        self.orders.append(order)
        self._is_busy = True
        asyncio.get_running_loop().call_later(self.load_s, self._load, order)
        return web.Response(status=202)

    def _load(self, order: ReceivedOrder) -> None:
        self.versions[order.model] = order.version
        self._is_busy = False

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        request_id = request.headers.get('X-Request-Id', '')
        expected = request.headers.get('X-Expect-Instance')
        if expected not in {None, self.endpoint_id}:
            return web.Response(status=421)
        self._record_arrival()
        if self.is_crashed:
            return _abort_connection(request)
        fault = self.faults.popleft() if self.faults else None
        if fault is SamplerFault.FULL:
            return web.Response(status=503, headers={'X-Not-Executed': '1'})
        self.requests.append(
            ReceivedRequest(
                request_id=request_id,
                method=request.method,
                path=request.raw_path,
                headers=dict(request.headers),
                body=body,
            )
        )
        self.runs[request_id] += 1
        headers = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'signed-{request_id}',
        }
        if fault is SamplerFault.OTHER_RESPONSE:
            headers['X-Request-Id'] = 'another'
        if fault is SamplerFault.RESET:
            return _abort_connection(request)
        if fault is SamplerFault.FAIL:
            return web.Response(status=500, headers=headers)
        if fault is SamplerFault.NEVER:
            return web.Response(status=422, headers=headers)
        if not self._event_count:
            if fault is SamplerFault.SILENT:
                await asyncio.sleep(30.0)
            await asyncio.sleep(self.work_s)
            return web.Response(body=b'echo:' + body, headers=headers)
        return await self._stream(request, headers, fault)

    async def _stream(
        self,
        request: web.Request,
        headers: dict[str, str],
        fault: SamplerFault | None,
    ) -> web.StreamResponse:
        model = request.headers.get('X-Model', '')
        version = self.versions.get(model, _BASE_VERSION)
        first = int(request.headers.get('Last-Event-Id', '-1')) + 1
        headers = {**headers, 'Content-Type': 'text/event-stream'}
        if first < self._event_count:
            headers['X-Weight-Versions'] = str(version)
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(first, self._event_count):
            current = self.versions.get(model, _BASE_VERSION)
            change = ''
            if current != version:
                change = f'x-weight-versions: {current}\n'
                version = current
            event = f'{change}id: {number}\ndata: piece {number}\n\n'
            is_middle = number == self._event_count // 2
            if is_middle and fault is SamplerFault.CUT_STREAM:
                await response.write(event[:-4].encode())
                return _abort_connection(request)
            await response.write(event.encode())
            if is_middle and fault is SamplerFault.SILENT:
                await asyncio.sleep(30.0)
            await asyncio.sleep(self.event_gap_s)
        if fault is SamplerFault.CUT_AFTER_LAST_EVENT:
            return _abort_connection(request)
        return response

    def _models(self) -> list[dict[str, object]]:
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection before or during a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
