"""Metrics of new connections to endpoints, by cause."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from types import SimpleNamespace

    from dogwoodpost.observability import Metrics


class ConnectionCause(Enum):
    """Why a call to an endpoint opened a connection.

    ``FIRST_USE``: it is the first one of this process to the address.
    ``NONE_FREE``: no kept connection was idle. ``NOT_SHARED``: the session
    keeps no connections.
    """

    FIRST_USE = 'first_use'
    NONE_FREE = 'none_free'
    NOT_SHARED = 'not_shared'


class EndpointTraceContext:
    """Trace context that marks a request as a call to an endpoint.

    :param address: host and port of the endpoint.
    """

    def __init__(self, address: str) -> None:
        self.address = address


class ConnectionCounts:
    """Counts the new connections of one process.

    Sessions keep connections by address, so ``NONE_FREE`` rises with the
    number of calls that run at once, and with the number of connections that
    endpoints have closed.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self._known_addresses: set[str] = set()

    def trace_config(self, *, reuse: bool) -> aiohttp.TraceConfig:
        """Return a trace configuration that counts a session's connections.

        :param reuse: the session keeps connections for later calls.
        """

        async def on_created(
            _session: aiohttp.ClientSession,
            context: SimpleNamespace,
            _parameters: aiohttp.TraceConnectionCreateEndParams,
        ) -> None:
            call = context.trace_request_ctx
            if isinstance(call, EndpointTraceContext):
                self._count(call.address, reuse=reuse)

        config = aiohttp.TraceConfig()
        config.on_connection_create_end.append(on_created)
        return config

    def _count(self, address: str, *, reuse: bool) -> None:
        if address not in self._known_addresses:
            self._known_addresses.add(address)
            cause = ConnectionCause.FIRST_USE
        elif reuse:
            cause = ConnectionCause.NONE_FREE
        else:
            cause = ConnectionCause.NOT_SHARED
        self.metrics.events.labels(f'endpoint_connection_{cause.value}').inc()
