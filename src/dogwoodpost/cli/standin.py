"""``dogwoodpost standin``: runs the stand-in of an external system."""

from __future__ import annotations

import asyncio
import time
from enum import Enum
from typing import TYPE_CHECKING

from dogwoodpost.config import ListenAddress
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.process import wait_for_stop_signal
from dogwoodpost.standins import endpoint_orders
from dogwoodpost.standins import engine
from dogwoodpost.standins import host_list
from dogwoodpost.standins import plain_service
from dogwoodpost.standins import platform_store
from dogwoodpost.standins import scorer
from dogwoodpost.standins import usage_reports
from dogwoodpost.standins import weight_store

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

_SHUTDOWN_TIMEOUT_S = 1.0


class System(Enum):
    """Outside systems that have a stand-in."""

    STORE = 'store'
    HOSTS = 'hosts'
    ORDERS = 'orders'
    USAGE = 'usage'
    WEIGHTS = 'weights'
    SCORER = 'scorer'
    ENGINE = 'engine'
    PLAIN = 'plain'


_APPS: dict[System, Callable[[], web.Application]] = {
    System.STORE: platform_store.create_app,
    System.HOSTS: host_list.create_app,
    System.ORDERS: lambda: endpoint_orders.create_app(
        endpoint_orders.EndpointOrdersState(time.monotonic)
    ),
    System.USAGE: lambda: usage_reports.create_app(
        usage_reports.UsageReportsState()
    ),
    System.WEIGHTS: weight_store.create_app,
    System.SCORER: scorer.create_app,
    System.ENGINE: lambda: engine.create_app(engine.EngineSettings()),
    System.PLAIN: lambda: plain_service.create_app(
        plain_service.PlainServiceSettings()
    ),
}


def standin(system: System, *, ip: str = '127.0.0.1', port: int = 0) -> None:
    """Run the stand-in of an outside system; prints its URL."""
    asyncio.run(_serve(system, ListenAddress(ip=ip, port=port)))


async def _serve(system: System, listen: ListenAddress) -> None:
    async with serving(
        _APPS[system](), listen, shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S
    ) as port:
        print(f'http://{listen.ip}:{port}', flush=True)
        await wait_for_stop_signal()
