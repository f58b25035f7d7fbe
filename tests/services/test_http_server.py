"""Start and stop of HTTP servers."""

from __future__ import annotations

import asyncio
import socket

from aiohttp import web

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
