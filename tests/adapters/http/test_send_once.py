"""Middleware that keeps aiohttp from repeating a request."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest

from dogwoodpost.adapters.http.send_once import ConnectionLostError
from dogwoodpost.adapters.http.send_once import MAY_REPEAT
from dogwoodpost.adapters.http.send_once import NOT_CONNECTED_ERRORS
from dogwoodpost.adapters.http.send_once import send_once
from tests.adapters.http.test_endpoint_client import RawServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'POST')


@contextlib.asynccontextmanager
async def served(raw: RawServer) -> AsyncIterator[str]:
    server = await asyncio.start_server(raw.handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    yield f'http://{host}:{port}/'
    server.close()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(middlewares=(send_once,)) as session:
        yield session


@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('answer', [b'', b'HTTP/1.1 200 '])
async def test_request_whose_response_is_lost_is_sent_once(
    session: aiohttp.ClientSession, method: str, answer: bytes
) -> None:
    """Guards against a second run of a request that may run only once."""
    raw = RawServer(answer)
    async with served(raw) as url:
        with pytest.raises(ConnectionLostError):
            await session.request(method, url)
    assert len(raw.requests) == 1


async def test_call_that_may_be_repeated_is_sent_again(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against reads that fail because an idle connection ended."""
    raw = RawServer(b'')
    async with served(raw) as url:
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.get(url, middlewares=MAY_REPEAT)
    assert len(raw.requests) == 2


async def test_refused_connection_is_told_apart(
    session: aiohttp.ClientSession,
) -> None:
    """Guards against a request that never ran being reported as unknown."""
    async with served(RawServer(b'')) as url:
        pass
    with pytest.raises(NOT_CONNECTED_ERRORS):
        await session.delete(url)
