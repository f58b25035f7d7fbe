"""Connector that keeps connections for later calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.platform import header_names
from dogwoodpost.platform.bounded_connector import BoundedProtocolConnector
from dogwoodpost.platform.tracked_protocol import TrackedResponseHandler

if TYPE_CHECKING:
    from collections.abc import Iterator

    import aiohttp
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from dogwoodpost.core.connections import CallSilence
    from dogwoodpost.platform.connection_counts import ConnectionCounts

_log = structlog.get_logger(__name__)
# Endpoints close idle connections earlier or later; a request that fails
# because its connection was closed is repeated.
_KEEPALIVE_S = 12.0
_MS_PER_S = 1_000


class PooledConnector(BoundedProtocolConnector):
    """Discards idle connections that have received bytes.

    Such bytes belong to no request, and aiohttp would take them for the
    response to the next one.
    """

    def __init__(self, counts: ConnectionCounts) -> None:
        super().__init__(
            keepalive_s=_KEEPALIVE_S, protocol=TrackedResponseHandler
        )
        self._counts = counts

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a kept connection, or a new one if none is idle."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        if isinstance(protocol, TrackedResponseHandler):
            protocol.key = req.connection_key
            call_id = req.headers.get(header_names.REQUEST_ID, '')
            protocol.use.begin_call(call_id, self._loop.time())
        return connection

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        connection = await super()._get(key, traces)
        while connection is not None and _is_unusable(connection):
            connection.close()
            connection = await super()._get(key, traces)
        return connection

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        """Take a connection back after a call.

        :param should_close: the call was given up, or failed.
        """
        if isinstance(protocol, TrackedResponseHandler):
            if should_close and protocol.is_connected():
                silence = protocol.use.silence(self._loop.time())
                if silence is not None:
                    self._report_silence(key, silence)
            protocol.use.end_call()
        super()._release(key, protocol, should_close=should_close)

    def _report_silence(
        self, key: ConnectionKey, silence: CallSilence
    ) -> None:
        now_s = self._loop.time()
        silent_count = sum(
            protocol.use.silence(now_s) is not None
            for protocol in self._busy(key)
        )
        self._counts.count_silence(silence)
        _log.info(
            'connection_silent',
            request_id=silence.call_id,
            address=f'{key.host}:{key.port}',
            call_number=silence.call_number,
            has_worked=silence.has_worked,
            silent_ms=round(silence.duration_s * _MS_PER_S),
            idle_ms=round(silence.idle_s * _MS_PER_S),
            age_ms=round(silence.age_s * _MS_PER_S),
            silent_connections=silent_count,
            idle_connections=len(self._conns.get(key, ())),
        )

    def _busy(self, key: ConnectionKey) -> Iterator[TrackedResponseHandler]:
        """Yield the connections to an address that calls use now."""
        for protocol in self._acquired:
            if (
                isinstance(protocol, TrackedResponseHandler)
                and protocol.key == key
            ):
                yield protocol


def _is_unusable(connection: Connection) -> bool:
    """Return whether a connection is closed or has unread bytes."""
    return connection.protocol is None or connection.protocol.should_close
