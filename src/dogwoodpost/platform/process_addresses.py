"""Addresses that a process listens on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.platform.ingress import readiness_app
from dogwoodpost.platform.listen_address import ListenAddress
from dogwoodpost.platform.store_relay import relay_app
from dogwoodpost.services.http_server import listening
from dogwoodpost.services.http_server import serving

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from contextlib import AbstractAsyncContextManager

    from aiohttp import web

    from dogwoodpost.platform.ingress import Ingress
    from dogwoodpost.platform.settings import ProcessSettings
    from dogwoodpost.platform.store_connection import StoreConnection
    from dogwoodpost.services.http_server import Listener

# An end of the process would only delay its start further.
_BIND_RETRY_S = 0.2
# Requests have ended, or are out of time, when an address is closed.
_SHUTDOWN_TIMEOUT_S = 0.1


class ProcessAddresses:
    """Serves the applications of a process on its addresses.

    :param is_ready: returns whether the load balancer may send clients here.
    :param render_metrics: returns the metrics in their text format.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        store: StoreConnection,
    ) -> None:
        self._settings = settings
        self._health = readiness_app(is_ready, render_metrics)
        self._store = store

    def internal(self) -> Iterator[AbstractAsyncContextManager[int]]:
        """Yield the servers for the load balancer, metrics and peers."""
        for name in ('ready', 'metrics'):
            address = self._settings.listen.get(name)
            if address is not None:
                yield _serving(self._health, address)
        if self._settings.peer_address:
            yield _serving(relay_app(self._store), self._settings.peer_address)

    def front(
        self, ingress: Ingress
    ) -> AbstractAsyncContextManager[Listener] | None:
        """Return the server for clients, None without an address."""
        address = self._settings.listen.get('front')
        if address is None:
            return None
        return listening(
            ingress.app(),
            ListenAddress(address),
            shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S,
            bind_retry_s=_BIND_RETRY_S,
        )


def _serving(
    app: web.Application, address: str
) -> AbstractAsyncContextManager[int]:
    return serving(
        app,
        ListenAddress(address),
        shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S,
        bind_retry_s=_BIND_RETRY_S,
    )
