"""Ends of responses whose length the client isn't told."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11

from dogwoodpost.adapters.reset_on_close import set_reset_on_close

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web


@asynccontextmanager
async def reset_unless_ended(
    request: web.Request, response: web.StreamResponse, timeout_s: float
) -> AsyncIterator[None]:
    """Reset the connection if the block doesn't write the whole response.

    HTTP/1.0 has no chunks, so the end of a body without a length is that of
    its connection, and an ordinary close would make a part of it look whole
    (RFC 9112, section 8). The kernel sends the reset too if the process is
    killed.

    :param timeout_s: how long the client may take to read the rest at the
        end.
    :raises ConnectionResetError: it took longer, and was disconnected.
    """
    transport = request.transport
    has_framing = (
        request.version >= HttpVersion11 or response.content_length is not None
    )
    if has_framing or transport is None:
        yield
        return
    connection = transport.get_extra_info('socket')
    set_reset_on_close(connection, enabled=True)
    yield
    await response.write_eof()
    try:
        async with asyncio.timeout(timeout_s):
            # Bytes that the kernel has not taken yet would be lost with the
            # process, so the buffer has to be empty.
            transport.set_write_buffer_limits(high=0)
            await request.writer.drain()
    except TimeoutError:
        transport.abort()
        raise ConnectionResetError(
            'the caller has stopped reading the response'
        ) from None
    if not transport.is_closing():
        set_reset_on_close(connection, enabled=False)
