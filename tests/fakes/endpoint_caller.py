"""Serves a stand-in on loopback and calls it over HTTP."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from aiohttp.test_utils import TestServer

from dogwoodpost.adapters.http import HttpEndpointClient
from dogwoodpost.adapters.http.endpoint_session import endpoint_session
from dogwoodpost.core import ids
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.endpoint_client import EndpointRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import aiohttp
    from aiohttp import web


def request_to(path: str, body: bytes = b'', **fields: Any) -> EndpointRequest:
    defaults = {
        'request_id': 'r1',
        'method': 'POST',
        'headers': (),
        'timeout_s': 30.0,
    }
    return EndpointRequest(path=path, body=body, **{**defaults, **fields})


class Caller:
    """Calls a stand-in through ``HttpEndpointClient``.

    ``direct`` bypasses that client, for control paths of the stand-in.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        idle_timeout_s: float = 30.0,
    ) -> None:
        self.session = session
        self.url = url
        self.client = HttpEndpointClient(
            ids.EndpointId('e1'), url, session, idle_timeout_s=idle_timeout_s
        )

    async def call(
        self, path: str, body: bytes = b'', **fields: Any
    ) -> tuple[int, dict[str, str], bytes]:
        request = request_to(path, body, **fields)
        async with self.client.call(request) as response:
            chunks = [chunk async for chunk in response.chunks()]
            return response.status, dict(response.headers), b''.join(chunks)

    async def complete(self, **body: Any) -> dict[str, Any]:
        names = ('request_id', 'timeout_s', 'priority')
        fields = {name: body.pop(name) for name in names if name in body}
        data = msgspec.json.encode(body)
        status, _, answer = await self.call('/v1/completions', data, **fields)
        return {'status': status, **msgspec.json.decode(answer)}

    async def direct(
        self, method: str, path: str, **options: Any
    ) -> tuple[int, Any]:
        async with self.session.request(
            method, self.url + path, **options
        ) as response:
            return response.status, await response.json()

    async def counters(self) -> dict[str, Any]:
        document: dict[str, Any]
        _, document = await self.direct('GET', '/control/counters')
        return document

    async def set_faults(self, **faults: Any) -> None:
        await self.direct('POST', '/control/faults', json=faults)

    async def wait_for(
        self, name: str, condition: Callable[[dict[str, Any]], bool]
    ) -> None:
        """Poll a control path until its document meets a condition."""
        for _ in range(10_000):
            if condition((await self.direct('GET', f'/control/{name}'))[1]):
                return
            await asyncio.sleep(0.002)
        raise AssertionError('the condition never held')

    async def wait_for_running(self, count: int) -> None:
        await self.wait_for(
            'load', lambda load: load['running_count'] == count
        )


@asynccontextmanager
async def serve(
    app: web.Application, idle_timeout_s: float = 30.0
) -> AsyncIterator[Caller]:
    async with (
        TestServer(app) as server,
        endpoint_session(Metrics()) as session,
    ):
        url = str(server.make_url('')).rstrip('/')
        yield Caller(session, url, idle_timeout_s)
