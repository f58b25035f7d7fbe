"""Calls under a lease, whose bytes must not arrive after it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.duty_calls import DutyConnection
from dogwoodpost.platform.sessions import guarded_session
from tests.platform.loopback import loopback_server
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import aiohttp

    from tests.platform.platform_site import Site

REPORT = (
    b'{"sequence": 0, "busy": false, "models": [{"name": "%s", "version": 1}]}'
) % MODEL.encode()


class SilentServer:
    """Answers reports of an engine and leaves all POST requests unanswered.

    :ivar ends: paths of unanswered calls, and whether they ended with a reset.
    """

    def __init__(self) -> None:
        self.address = ''
        self.ends: list[tuple[str, bool]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        path = ''
        was_reset = False
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, path, _ = head.decode().split(' ', 2)
                if method == 'POST':
                    await reader.read()
                    break
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
                    % (len(REPORT), REPORT)
                )
        except asyncio.IncompleteReadError:
            path = ''
        except ConnectionResetError:
            was_reset = True
        if path:
            self.ends.append((path, was_reset))
        writer.close()

    async def wait_for_end(self, path: str) -> bool:
        """Return whether the first unanswered call of a path was reset."""
        async with asyncio.timeout(10.0):
            while True:
                for ended_path, was_reset in self.ends:
                    if ended_path == path:
                        return was_reset
                await asyncio.sleep(0.05)


@pytest.fixture
async def silent() -> AsyncIterator[SilentServer]:
    server = SilentServer()
    async with loopback_server(server.serve) as server.address:
        yield server


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with guarded_session(ConnectionCounts(Metrics())) as session:
        yield session


@pytest.mark.parametrize('path', ['/usage', '/scale'])
async def test_abandoned_duty_call_is_reset(
    site: Site, silent: SilentServer, path: str
) -> None:
    """Guards against a call that a healed path delivers after the lease."""
    site.duty_address = silent.address
    configuration = site.configuration(version=3)
    for service in configuration['services']:
        service['scale'] = {'min': 1, 'max': 4, 'bootS': 3}
    site.configure(configuration)
    async with site.node('node-1'):
        assert await silent.wait_for_end(path)


async def test_abandoned_order_to_an_endpoint_is_reset(
    site: Site, silent: SilentServer
) -> None:
    """Guards against an order that arrives after the next holder's."""
    for engine in site.engines:
        site.move(engine, 'engines', silent.address)
    async with site.node('node-1'):
        site.name_version(2)
        assert await silent.wait_for_end('/api/order')


def connection(
    address: str,
    session: aiohttp.ClientSession,
    fencing_number: Callable[[], int],
) -> DutyConnection:
    return DutyConnection(
        lambda: address,
        session,
        'node-1',
        lambda: ids.FencingNumber(fencing_number()),
    )


async def test_unanswered_call_may_have_taken_effect(
    silent: SilentServer, session: aiohttp.ClientSession
) -> None:
    """Guards against a report that is sent with other figures later."""
    duty = connection(silent.address, session, lambda: 1)
    with pytest.raises(PlatformOutcomeUnknownError):
        await duty.post('/usage', b'{}', None)


async def test_nothing_is_sent_once_the_lease_is_lost(
    silent: SilentServer, session: aiohttp.ClientSession
) -> None:
    """Guards against a call that waited for its connection too long."""
    numbers = iter((1, 2))
    duty = connection(silent.address, session, lambda: next(numbers))
    with pytest.raises(LeaseLostError):
        await duty.post('/usage', b'{}', None)
    await asyncio.sleep(0.1)
    assert silent.ends == []
