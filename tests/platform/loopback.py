"""TCP servers on loopback for tests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable


@contextlib.asynccontextmanager
async def loopback_server(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> AsyncIterator[str]:
    """Run a server during the block; yield its host and port.

    :param serve: handles one connection.
    """
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
