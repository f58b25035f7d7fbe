"""Fixture with one agent, one entry and two endpoints on loopback."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest_asyncio
from aiohttp.test_utils import TestServer

from dogwoodpost.standins import plain_service
from dogwoodpost.standins.engine import create_app
from dogwoodpost.standins.engine import EngineFaults
from dogwoodpost.standins.engine import EngineSettings
from tests.fakes.site import Site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest_asyncio.fixture
async def site() -> AsyncIterator[Site]:
    async with contextlib.AsyncExitStack() as stack:
        engine = TestServer(create_app(EngineSettings()))
        plain = TestServer(plain_service.create_app())
        for server in (engine, plain):
            await stack.enter_async_context(server)
        site = Site(engine, plain)
        await site.start()
        yield site
        site.engine.set_faults(EngineFaults())
        await site.agent.stop()
        await site.entry.service.stop()
