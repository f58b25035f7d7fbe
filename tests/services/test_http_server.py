"""Start and stop of HTTP servers."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

from dogwoodpost.services.http_server import listening
from dogwoodpost.services.http_server import serving

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


async def respond(_request: web.Request) -> web.Response:
    return web.Response(text='a')


class Loopback:
    """Any free port of the loopback address."""

    ip = '127.0.0.1'
    port = 0


async def test_stop_answers_connections_that_only_the_kernel_accepted() -> (
    None
):
    """Guards against requests that a stop resets before they are read.

    The kernel completes connections before the process accepts them. Nothing
    is awaited between the connection and the stop, so the event loop has no
    chance to accept it.
    """
    app = web.Application()
    app.router.add_get('/', respond)
    client = socket.socket()
    async with serving(app, Loopback(), shutdown_timeout_s=1.0) as port:
        client.connect(('127.0.0.1', port))
        client.sendall(REQUEST)
    client.setblocking(False)
    response = b''
    async with asyncio.timeout(1.0):
        while data := await asyncio.get_running_loop().sock_recv(client, 4096):
            response += data
    client.close()
    assert response.startswith(b'HTTP/1.1 200')


async def test_port_is_free_after_the_stop() -> None:
    """Guards against a server that keeps its address."""
    async with serving(
        web.Application(), Loopback(), shutdown_timeout_s=0.1
    ) as port:
        pass
    with socket.create_server(('127.0.0.1', port)):
        pass


BODY = b'x' * 60_000
SMALL_BUFFER_BYTES = 4_096


async def respond_slowly_sent(request: web.Request) -> web.Response:
    """Return a body that the kernel does not take at once."""
    assert request.transport is not None
    request.transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )
    return web.Response(body=BODY)


async def test_stop_waits_for_bytes_that_a_slow_client_has_not_read() -> None:
    """Guards against the end of a response that is lost with the process.

    The request has been handled, and a part of its response is still in the
    buffer of the process when the stop closes the address.
    """
    app = web.Application()
    app.router.add_get('/', respond_slowly_sent)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    loop = asyncio.get_running_loop()

    async def read_late() -> bytes:
        await asyncio.sleep(0.6)
        received = b''
        while data := await loop.sock_recv(client, 65_536):
            received += data
        return received

    async with listening(app, Loopback(), shutdown_timeout_s=0.1) as listener:
        await loop.sock_connect(client, ('127.0.0.1', listener.port))
        await loop.sock_sendall(client, REQUEST)
        await asyncio.sleep(0.2)
        reading = asyncio.create_task(read_late())
        await listener.stop()
        assert await listener.finish_responses(timeout_s=3.0)
    assert (await reading).endswith(BODY)
    client.close()


async def test_stop_does_not_wait_for_a_client_that_reads_nothing() -> None:
    """Guards against a stop that one client holds up."""
    app = web.Application()
    app.router.add_get('/', respond_slowly_sent)
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    async with listening(app, Loopback(), shutdown_timeout_s=0.1) as listener:
        await loop.sock_connect(client, ('127.0.0.1', listener.port))
        await loop.sock_sendall(client, REQUEST)
        await asyncio.sleep(0.2)
        await listener.stop()
        assert not await listener.finish_responses(timeout_s=0.3)
    client.close()
