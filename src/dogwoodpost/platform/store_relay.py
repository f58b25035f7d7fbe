"""Relay of store calls through other processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
import yarl
from aiohttp import web

from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.http.send_once import MAY_REPEAT
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.platform.store_connection import MAX_RESPONSE_BYTES
from dogwoodpost.platform.store_connection import StoreCall
from dogwoodpost.platform.store_connection import translate_call_errors

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.observability import Metrics
    from dogwoodpost.platform.store_connection import StoreConnection
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
_PREFIX = '/store/'
TIMEOUT_HEADER = 'Dogwoodpost-Timeout-Ms'
_CONNECT_TIMEOUT_S = 0.1
# Added to the timeout of a call for the hop between two processes.
_RELAY_OVERHEAD_S = 0.2
# A peer that failed is not used again for this time.
_PEER_BACKOFF_S = 2.0
# Peers tried for one call.
_MAX_PEER_COUNT = 2
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MS_PER_S = 1_000
_RELAYED_HEADERS = ('Content-Type', 'If-None-Match')
_STATUS_BAD_REQUEST = 400
# The call was not performed.
_STATUS_UNAVAILABLE = 503
# The call may have been performed, or may be later.
_STATUS_OUTCOME_UNKNOWN = 504


class StoreRelay:
    """Relays calls through live peers, its own availability zone first."""

    def __init__(
        self,
        presence: PresenceService,
        session: aiohttp.ClientSession,
        metrics: Metrics,
    ) -> None:
        self._presence = presence
        self._session = session
        self._metrics = metrics
        self._failed_peers: ExpiringKeys[str] = ExpiringKeys()

    async def call(self, call: StoreCall) -> tuple[int, bytes]:
        """Relay a call; return the status and body of its response.

        :raises StoreUnavailableError: the call was not performed.
        :raises StoreOutcomeUnknownError: the call may have been performed,
            or may be later.
        """
        loop = asyncio.get_running_loop()
        last_error = StoreUnavailableError(
            f'{call.name}: no peer is available'
        )
        addresses = self._peer_addresses(loop.time(), call.allowed_regions)
        for address in addresses[:_MAX_PEER_COUNT]:
            try:
                result = await self._call_through(address, call)
            except StoreUnavailableError as failure:
                self._failed_peers.add(address, loop.time() + _PEER_BACKOFF_S)
                last_error = failure
                self._count('unavailable')
            except StoreOutcomeUnknownError:
                self._failed_peers.add(address, loop.time() + _PEER_BACKOFF_S)
                self._count('unknown')
                raise
            else:
                self._count('answered')
                return result
        raise last_error

    async def _call_through(
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
                middlewares=MAY_REPEAT if call.is_read_only else None,
                timeout=aiohttp.ClientTimeout(
                    total=call.timeout_s + _RELAY_OVERHEAD_S,
                    sock_connect=_CONNECT_TIMEOUT_S,
                ),
            ) as response:
                data = await read_body(response, max_bytes=MAX_RESPONSE_BYTES)
        if response.status == _STATUS_UNAVAILABLE:
            raise StoreUnavailableError(
                f'{call.name}: a peer has not performed the call'
            )
        if response.status == _STATUS_OUTCOME_UNKNOWN:
            raise StoreOutcomeUnknownError(
                f'{call.name}: a peer does not know the outcome'
            )
        return response.status, data

    def _peer_addresses(
        self, now_s: float, allowed_regions: AllowedRegions
    ) -> Sequence[str]:
        zone = self._presence.availability_zone
        failed_addresses = self._failed_peers.current(now_s)
        candidates = [
            (record.availability_zone != zone, process_id, record.peer_address)
            for process_id, record in self._presence.live_peers().items()
            if record.peer_address
            and record.peer_address not in failed_addresses
            and allowed_regions.permits(record.region)
        ]
        return [address for _, _, address in sorted(candidates)]

    def _count(self, result: str) -> None:
        self._metrics.events.labels(f'store_relay_{result}').inc()


def relay_app(store: StoreConnection) -> web.Application:
    """Return the application that makes store calls for peers."""

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
                for name in _RELAYED_HEADERS
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
            return web.Response(status=_STATUS_OUTCOME_UNKNOWN)
        return web.Response(status=status, body=data)

    app = web.Application(
        client_max_size=_MAX_BODY_BYTES, handler_args={'access_log': None}
    )
    app.router.add_route('*', f'{_PREFIX}{{name:.*}}', serve)
    return app


def _timeout_s(request: web.Request) -> float | None:
    """Return a call's time limit, or None if it is missing or malformed."""
    value = request.headers.get(TIMEOUT_HEADER, '')
    if not value.isdecimal() or int(value) == 0:
        return None
    return int(value) / _MS_PER_S
