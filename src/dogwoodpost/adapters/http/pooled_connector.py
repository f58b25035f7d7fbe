"""Connector that keeps connections for later calls."""

from __future__ import annotations

from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.adapters.http.bounded_connector import (
    BoundedProtocolConnector,
)
from dogwoodpost.adapters.http.bounded_connector import KEEPALIVE_S
from dogwoodpost.adapters.http.tracked_protocol import TrackedResponseHandler

if TYPE_CHECKING:
    from collections.abc import Iterator

    import aiohttp
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from dogwoodpost.core.connections import CallSilence
    from dogwoodpost.observability import Metrics

_log = structlog.get_logger(__name__)
_REQUEST_ID_HEADER = 'X-Request-Id'
_MS_PER_S = 1_000
_max_idle_s: ContextVar[float | None] = ContextVar('max_idle_s', default=None)


@contextmanager
def limited_idle_time(max_idle_s: float | None) -> Iterator[None]:
    """Limit the kept connections that calls of this task may use.

    :param max_idle_s: longest time since a connection was heard from, in
        seconds; a call that finds no such connection opens one. None for any
        time.
    """
    token = _max_idle_s.set(max_idle_s)
    try:
        yield
    finally:
        _max_idle_s.reset(token)


class PooledConnector(BoundedProtocolConnector):
    """Discards idle connections that can't be used for another call.

    Bytes that arrive on an idle connection belong to no request, and aiohttp
    would take them for the response to the next one.

    Connections may stop working without a reset, all at the same time. A call
    that was given up on a silent connection therefore makes the idle ones to
    the same address suspect, unless another connection that is as old still
    works.

    :param limit: largest number of connections, 0 for any number.
    """

    def __init__(self, metrics: Metrics, *, limit: int = 0) -> None:
        super().__init__(
            keepalive_s=KEEPALIVE_S,
            limit=limit,
            protocol=TrackedResponseHandler,
        )
        self._metrics = metrics

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
            call_id = req.headers.get(_REQUEST_ID_HEADER, '')
            protocol.use.begin_call(call_id, self._loop.time())
        return connection

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        while self._has_usable(key):
            connection = await super()._get(key, traces)
            if connection is None or not _is_unusable(connection):
                return connection
            connection.close()
        return None

    def _has_usable(self, key: ConnectionKey) -> bool:
        """Return whether there is an idle connection for the current call.

        If the call limits the idle time, the connection that was heard from
        last moves to the front, where it is taken next.
        """
        max_idle_s = _max_idle_s.get()
        if max_idle_s is None:
            return key in self._conns
        last = max(
            (idle for idle in self._idle(key) if idle.is_connected()),
            key=lambda idle: idle.use.last_contact_s,
            default=None,
        )
        if last is None or last.use.idle_s(self._loop.time()) > max_idle_s:
            return False
        entries = self._conns[key]
        protocols = [protocol for protocol, _ in entries]
        entries.rotate(-protocols.index(last))
        return True

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
            if should_close and protocol.is_receiving():
                silence = protocol.use.silence(self._loop.time())
                if silence is not None:
                    self._handle_silence(key, silence)
            protocol.use.end_call()
        super()._release(key, protocol, should_close=should_close)

    def _handle_silence(
        self, key: ConnectionKey, silence: CallSilence
    ) -> None:
        """Report a call that was given up on a silent connection.

        Closes the idle connections that are suspect because of it. A new
        connection that receives nothing says nothing about them.
        """
        now_s = self._loop.time()
        silent_count = sum(
            protocol.use.silence(now_s) is not None
            for protocol in self._busy(key)
        )
        others_work = self._has_working_connection(key, silence, now_s)
        closed_count = 0
        if silence.has_worked and not others_work:
            closed_count = self._close_suspects(key, silence, now_s)
        self._count_silence(silence, closed_count)
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
            others_work=others_work,
            closed_connections=closed_count,
            idle_connections=len(self._conns.get(key, ())),
        )

    def _count_silence(self, silence: CallSilence, closed_count: int) -> None:
        """Count a silent call and the idle connections closed because of it.

        A new connection that receives nothing points to its endpoint, one
        that has worked before may have gone silent itself.
        """
        kind = 'used' if silence.has_worked else 'new'
        self._metrics.events.labels(f'connection_silent_{kind}').inc()
        self._metrics.events.labels('connection_suspect_closed').inc(
            closed_count
        )

    def _has_working_connection(
        self, key: ConnectionKey, silence: CallSilence, now_s: float
    ) -> bool:
        """Return whether an older connection to the address still works."""
        return any(
            protocol.use.outlived(silence, now_s)
            for protocol in (*self._busy(key), *self._idle(key))
        )

    def _close_suspects(
        self, key: ConnectionKey, silence: CallSilence, now_s: float
    ) -> int:
        """Close the suspect idle connections to an address.

        :returns: number of closed connections.
        """
        suspects = {
            protocol
            for protocol in self._idle(key)
            if protocol.use.is_suspect(silence, now_s)
        }
        if not suspects:
            return 0
        kept = [
            entry for entry in self._conns.pop(key) if entry[0] not in suspects
        ]
        if kept:
            self._conns[key].extend(kept)
        for protocol in suspects:
            protocol.close()
        return len(suspects)

    def _busy(self, key: ConnectionKey) -> Iterator[TrackedResponseHandler]:
        """Yield the connections to an address that calls use now."""
        for protocol in self._acquired:
            if (
                isinstance(protocol, TrackedResponseHandler)
                and protocol.key == key
            ):
                yield protocol

    def _idle(self, key: ConnectionKey) -> Iterator[TrackedResponseHandler]:
        """Yield the connections to an address that no call uses."""
        for protocol, _ in self._conns.get(key, ()):
            if isinstance(protocol, TrackedResponseHandler):
                yield protocol


def _is_unusable(connection: Connection) -> bool:
    """Return whether a connection is closed or has unread bytes."""
    return connection.protocol is None or connection.protocol.should_close
