"""Calls of the process itself on connections that have gone silent."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core.allowed_regions import ANY_REGION
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.endpoint_calls import HttpEndpointGateway
from dogwoodpost.platform.sessions import http_session
from dogwoodpost.platform.store_client import PlatformRowStore
from dogwoodpost.platform.store_connection import StoreCall
from dogwoodpost.platform.store_connection import StoreConnection
from dogwoodpost.platform.store_relay import StoreRelay
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.pipeline import endpoint
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    import aiohttp

    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

KEPT_COUNT = 12
# Serves as an engine's report and as an empty page of rows.
BODY = b'{"sequence": 0, "ver": 1}'
# Longer than a peer is left out after a failure.
PAUSE_S = 2.1


class FakePresence:
    """One live peer at an address."""

    availability_zone = 'zone-a'

    def __init__(self, address: str) -> None:
        self._peer = SimpleNamespace(
            availability_zone='zone-a', peer_address=address, region='region-a'
        )

    def live_peers(self) -> dict[str, SimpleNamespace]:
        return {'peer': self._peer}


def engine_report(
    session: aiohttp.ClientSession, address: str
) -> Callable[[], Awaitable[object]]:
    notices = SimpleNamespace(handle_response=lambda *_: None)
    gateway = HttpEndpointGateway(session, session, session, 'node', notices)
    target = endpoint('e', 'engines', address=address)
    return lambda: gateway.report(target)


def store_read(
    session: aiohttp.ClientSession, address: str
) -> Callable[[], Awaitable[object]]:
    rows = PlatformRowStore(StoreConnection(address, session, Metrics()))
    return lambda: rows.read('table', '')


def relayed_read(
    session: aiohttp.ClientSession, address: str
) -> Callable[[], Awaitable[object]]:
    relay = StoreRelay(FakePresence(address), session, Metrics())
    call = StoreCall(method='GET', name='rows-get', allowed_regions=ANY_REGION)
    return lambda: relay.call(call)


@pytest.mark.parametrize(
    ('make_call', 'pause_s'),
    [(engine_report, 0.0), (store_read, 0.0), (relayed_read, PAUSE_S)],
)
async def test_one_call_learns_that_all_connections_are_silent(
    make_call: Callable[
        [aiohttp.ClientSession, str], Callable[[], Awaitable[object]]
    ],
    pause_s: float,
) -> None:
    """Guards against as many failures as a burst has left connections."""

    async def answer(_request: RawRequest, response: RawResponse) -> None:
        await asyncio.sleep(0.05)
        await response.write_response(BODY)

    async with (
        raw_endpoint(answer) as raw,
        FaultProxy(raw.address).serving() as proxy,
        http_session(ConnectionCounts(Metrics()), reuse=True) as session,
    ):
        call = make_call(session, proxy.address)
        await asyncio.gather(*(call() for _ in range(KEPT_COUNT)))
        assert proxy.silence_open() == KEPT_COUNT
        with pytest.raises(DogwoodpostError):
            await call()
        await asyncio.sleep(pause_s)
        await call()
