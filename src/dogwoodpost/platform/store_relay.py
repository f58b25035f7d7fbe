"""Calls to the store that go by another process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
import yarl
from aiohttp import web

from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.platform.store_connection import StoreCall
from dogwoodpost.platform.store_connection import translate_call_errors

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.store_connection import StoreConnection
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_PREFIX = '/store/'
TIMEOUT_HEADER = 'Dogwoodpost-Timeout-Ms'
_CONNECT_TIMEOUT_S = 0.1
# What a call takes between two processes, beside the store's own time.
_HOP_S = 0.2
_AVOID_S = 2.0
_MAX_PEER_COUNT = 2
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MS_PER_S = 1_000
_PASSED_HEADERS = ('Content-Type', 'If-None-Match')
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
_STATUS_UNKNOWN = 504


class StoreRelay:
    """Sends calls by live peers, those of the own zone first."""

    def __init__(
        self,
        presence: PresenceService,
        session: aiohttp.ClientSession,
        metrics: Metrics,
    ) -> None:
        self._presence = presence
        self._session = session
        self._metrics = metrics
        self._avoided: ExpiringKeys[str] = ExpiringKeys()

    async def call(self, call: StoreCall) -> tuple[int, bytes]:
        """Return status and body.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: it may have been, or may be later.
        """
        loop = asyncio.get_running_loop()
        error = StoreUnavailableError(f'{call.name}: no peer')
        for address in self._addresses(loop.time())[:_MAX_PEER_COUNT]:
            try:
                result = await self._call_by(address, call)
            except StoreUnavailableError as failure:
                self._avoided.add(address, loop.time() + _AVOID_S)
                error = failure
                self._count('unavailable')
            except StoreOutcomeUnknownError:
                self._avoided.add(address, loop.time() + _AVOID_S)
                self._count('unknown')
                raise
            else:
                self._count('answered')
                return result
        raise error

    async def _call_by(
        self, address: str, call: StoreCall
    ) -> tuple[int, bytes]:
        url = yarl.URL.build(
            scheme='http',
            authority=address,
            path=f'{_PREFIX}{call.name}',
            query=call.query,
        )
        headers = {
            **call.headers,
            TIMEOUT_HEADER: str(round(call.timeout_s * _MS_PER_S)),
        }
        with translate_call_errors(call.name):
            async with self._session.request(
                call.method,
                url,
                data=call.body,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s + _HOP_S,
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
            ) as response:
                data = await response.read()
        if response.status == _STATUS_UNAVAILABLE:
            raise StoreUnavailableError(f'{call.name}: refused by a peer')
        if response.status == _STATUS_UNKNOWN:
            raise StoreOutcomeUnknownError(
                f'{call.name}: a peer got no answer'
            )
        return response.status, data

    def _addresses(self, now_s: float) -> Sequence[str]:
        zone = self._presence.availability_zone
        avoided = self._avoided.current(now_s)
        usable = [
            (record.availability_zone != zone, process_id, record.peer_address)
            for process_id, record in self._presence.live_peers().items()
            if record.peer_address and record.peer_address not in avoided
        ]
        return [address for _, _, address in sorted(usable)]

    def _count(self, result: str) -> None:
        self._metrics.events.labels(f'store_relay_{result}').inc()


def relay_app(store: StoreConnection) -> web.Application:
    """Return the application for the calls of peers."""

    async def serve(request: web.Request) -> web.Response:
        timeout_s = _timeout_s(request)
        if timeout_s is None:
            return web.Response(
                status=_STATUS_BAD_REQUEST,
                text=f'{TIMEOUT_HEADER} must be a whole number above 0',
            )
        call = StoreCall(
            method=request.method,
            name=request.path.removeprefix(_PREFIX),
            query=dict(request.query),
            body=await request.read() or None,
            headers={
                name: request.headers[name]
                for name in _PASSED_HEADERS
                if name in request.headers
            },
            timeout_s=timeout_s,
        )
        try:
            status, data = await store.call_for_peer(call)
        except StoreUnavailableError as error:
            _log.info('peer_call_refused', call=call.name, error=str(error))
            return web.Response(status=_STATUS_UNAVAILABLE)
        except StoreOutcomeUnknownError as error:
            _log.info('peer_call_unknown', call=call.name, error=str(error))
            return web.Response(status=_STATUS_UNKNOWN)
        return web.Response(status=status, body=data)

    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, handler_args={'access_log': None}
    )
    app.router.add_route('*', f'{_PREFIX}{{name:.*}}', serve)
    return app


def _timeout_s(request: web.Request) -> float | None:
    """Return how long a call may take, None if it does not say."""
    value = request.headers.get(TIMEOUT_HEADER, '')
    if not value.isdecimal() or int(value) == 0:
        return None
    return int(value) / _MS_PER_S
