"""Contract tests of the order and usage interfaces with faults."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from aiohttp import test_utils
from aiohttp import web

from dogwoodpost.adapters.platform.endpoint_orders import HttpEndpointOrders
from dogwoodpost.adapters.platform.guarded_http_client import (
    create_reset_on_close_socket,
)
from dogwoodpost.adapters.platform.guarded_http_client import GuardedHttpClient
from dogwoodpost.adapters.platform.usage_reports import HttpUsageReports
from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.ports.endpoint_orders import EndpointOrder
from dogwoodpost.ports.endpoint_orders import OrderAction
from dogwoodpost.ports.usage_reports import UsageFigures
from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.standins import endpoint_orders
from dogwoodpost.standins import usage_reports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


ZONE = ids.AvailabilityZone('minas-a')
SERVICE = ids.ServiceName('slate-lm')
START = EndpointOrder(
    order_id=ids.OperationId('orders/south/slate-lm/1'),
    service=SERVICE,
    availability_zone=ZONE,
    action=OrderAction.START,
)
REPORT = UsageReport(
    window=ids.UsageWindow(7),
    figures={ids.ClientAccountId('matting'): UsageFigures(request_count=3)},
)
# Fault, its value, the error that the call raises, and whether the call
# takes effect.
FAULTS = [
    ('', 0, None, True),
    ('refused_count', 1, PlatformError, False),
    ('lost_response_count', 1, PlatformOutcomeUnknownError, True),
    ('is_down', True, PlatformOutcomeUnknownError, False),
]


@asynccontextmanager
async def run_server(app: web.Application) -> AsyncIterator[str]:
    async with test_utils.TestServer(app) as server:
        yield str(server.make_url('')).rstrip('/')


@asynccontextmanager
async def orders_client(
    book: endpoint_orders.EndpointOrdersState,
) -> AsyncIterator[HttpEndpointOrders]:
    async with run_server(endpoint_orders.create_app(book)) as url:
        client = HttpEndpointOrders(url)
        yield client
        await client.close()


@pytest.mark.parametrize(('fault', 'value', 'error', 'takes_effect'), FAULTS)
async def test_order_faults(
    fault: str,
    value: int,
    error: type[PlatformError] | None,
    takes_effect: bool,
) -> None:
    """Guards against reporting an order as refused after a lost response."""
    book = endpoint_orders.EndpointOrdersState(lambda: 0.0)
    if fault:
        setattr(book, fault, value)
    async with orders_client(book) as client:
        if error is None:
            await client.submit(START)
        else:
            with pytest.raises(PlatformError) as caught:
                await client.submit(START)
            assert type(caught.value) is error
        book.is_down = False
        listed = await client.list_endpoints(SERVICE)
    listed_order_ids = [endpoint.order_id for endpoint in listed]
    assert listed_order_ids == ([START.order_id] if takes_effect else [])


@pytest.mark.parametrize(('fault', 'value', 'error', 'takes_effect'), FAULTS)
async def test_report_faults(
    fault: str,
    value: int,
    error: type[PlatformError] | None,
    takes_effect: bool,
) -> None:
    """Guards against reporting usage as refused after a lost response."""
    book = usage_reports.UsageReportsState()
    if fault:
        setattr(book, fault, value)
    async with run_server(usage_reports.create_app(book)) as url:
        client = HttpUsageReports(url)
        if error is None:
            await client.submit(REPORT)
        else:
            with pytest.raises(PlatformError) as caught:
                await client.submit(REPORT)
            assert type(caught.value) is error
        await client.close()
    assert book.received == ([REPORT] if takes_effect else [])


async def test_different_figures_of_a_window_are_flagged() -> None:
    """Guards against a stand-in that accepts contradicting reports."""
    book = usage_reports.UsageReportsState()
    other = UsageReport(window=REPORT.window, figures={})
    for report in (REPORT, REPORT, other):
        book.record(report)
    assert book.contradicted_windows == {REPORT.window}


async def test_endpoints_start_per_zone_and_can_be_lost() -> None:
    """Guards against a stand-in that ignores start-up time and zones."""
    now_s = [0.0]
    book = endpoint_orders.EndpointOrdersState(
        lambda: now_s[0], start_up_s=5.0
    )
    async with orders_client(book) as client:
        await client.submit(START)
        before = await client.list_endpoints(SERVICE)
        now_s[0] = 5.0
        after = await client.list_endpoints(SERVICE)
        assert [item.running for item in (*before, *after)] == [False, True]
        assert await client.list_endpoints(ids.ServiceName('other')) == []
        book.lose_zone(ZONE)
        assert await client.list_endpoints(SERVICE) == []
        with pytest.raises(PlatformError):
            await client.submit(START)


async def test_guard_stops_an_order_on_an_open_connection() -> None:
    """Guards against bytes that are sent after the lease was lost."""
    book = endpoint_orders.EndpointOrdersState(lambda: 0.0)

    def refuse() -> None:
        raise LeaseLostError('lost')

    async with orders_client(book) as client:
        with pytest.raises(LeaseLostError):
            await client.submit(START, before_send=refuse)
        assert await client.list_endpoints(SERVICE) == []
    assert book.received == []


async def test_no_connection_means_not_taken() -> None:
    """Guards against calling the guard before the connection is open."""
    asked: list[None] = []
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        client = HttpEndpointOrders(
            f'http://127.0.0.1:{unused.getsockname()[1]}'
        )
        with pytest.raises(PlatformError) as caught:
            await client.submit(START, before_send=lambda: asked.append(None))
        await client.close()
    assert type(caught.value) is PlatformError
    assert asked == []


async def test_timeout_after_sending_is_an_unknown_outcome() -> None:
    """Guards against reporting a sent order as not accepted."""

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(stay_silent, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = HttpEndpointOrders(f'http://127.0.0.1:{port}', timeout_s=0.2)
    with pytest.raises(PlatformOutcomeUnknownError):
        await client.submit(START)
    await client.close()
    server.close()


async def test_redirect_is_refused() -> None:
    """Guards against sending a second copy without calling the guard."""
    calls: list[str] = []

    async def redirect(request: web.Request) -> web.Response:
        calls.append(request.path)
        raise web.HTTPTemporaryRedirect('/v1/orders')

    app = web.Application()
    app.router.add_post('/v1/orders', redirect)
    async with run_server(app) as url:
        client = HttpEndpointOrders(url)
        with pytest.raises(PlatformError):
            await client.submit(START)
        await client.close()
    assert calls == ['/v1/orders']


@pytest.mark.parametrize(('timeout_s', 'used_s'), [(0.5, 0.5), (10.0, 2.0)])
def test_calls_end_within_the_margin_of_the_lease(
    timeout_s: float, used_s: float
) -> None:
    """Guards against a time-out setting that exceeds the lease margin."""
    http = GuardedHttpClient('http://127.0.0.1:1', timeout_s=timeout_s)
    assert http.timeout_s == used_s


def test_closing_discards_unsent_bytes() -> None:
    """Guards against bytes that the kernel sends after the time-out."""
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ('127.0.0.1', 1))
    with create_reset_on_close_socket(address) as created:
        linger = created.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack('ii', linger) == (1, 0)
