"""Connector whose connections reject malformed responses."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.bounded_protocol import BoundedResponseHandler

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler

# Endpoints close idle connections earlier or later; a request that fails
# because its connection was closed is repeated.
KEEPALIVE_S = 12.0


class BoundedProtocolConnector(aiohttp.TCPConnector):
    """Opens connections that reject malformed responses.

    All sessions use it; see ``BoundedResponseHandler``.

    :param keepalive_s: how long to keep idle connections; None closes each
        connection after its request.
    :param limit: largest number of connections, 0 for any number.
    :param socket_factory: creates the sockets of connections that are not
        kept.
    :param protocol: protocol of the connections.
    """

    def __init__(
        self,
        *,
        keepalive_s: float | None = None,
        limit: int = 0,
        socket_factory: Callable[[Any], socket.socket] | None = None,
        protocol: type[ResponseHandler] = BoundedResponseHandler,
    ) -> None:
        if keepalive_s is None:
            super().__init__(
                limit=limit, force_close=True, socket_factory=socket_factory
            )
        else:
            super().__init__(limit=limit, keepalive_timeout=keepalive_s)
        self._factory = partial(protocol, loop=asyncio.get_running_loop())
