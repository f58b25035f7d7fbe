"""Fixtures of the platform's tests: a site on loopback."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import aiohttp
import pytest
import structlog

from tests.platform.platform_site import Site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator
    from pathlib import Path


@pytest.fixture(autouse=True)
def quiet_logs() -> Iterator[None]:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(20)
    )
    yield
    structlog.reset_defaults()


@pytest.fixture
async def site(tmp_path: Path) -> AsyncIterator[Site]:
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=0)
            )
        )
        site = Site(session, tmp_path)
        await site.open(stack)
        yield site
