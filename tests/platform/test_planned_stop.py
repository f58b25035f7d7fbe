"""Stages of a planned stop, with processes of their own."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import time
from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import HOST
from tests.platform.platform_site import KEY
from tests.platform.platform_site import MODEL
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.platform.platform_site import Site
    from tests.platform.platform_site import SpawnedNode
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

LONG_DEADLINE_MS = 12_000
SHORT_DEADLINE_MS = 400


class KeptConnection:
    """Client connection that is used for several requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(
        self, path: str, request_id: str, deadline_ms: int
    ) -> tuple[int, bool]:
        """Return the status, and whether the whole response arrived."""
        self._writer.write(
            (
                f'POST {path} HTTP/1.1\r\n'
                f'Host: {HOST}\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                f'X-Request-Id: {request_id}\r\n'
                f'X-Deadline-Ms: {deadline_ms}\r\n'
                f'X-Model: {MODEL}\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        )
        status = 0
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await self._reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ', 2)[1])
            await self._read_body(head.lower())
            return status, True
        return status, False

    async def _read_body(self, head: bytes) -> None:
        for line in head.split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await self._reader.readexactly(int(line.split(b':')[1]))
                return
        size = -1
        while size:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            await self._reader.readexactly(size + 2)


@contextlib.asynccontextmanager
async def kept_connection(node: SpawnedNode) -> AsyncIterator[KeptConnection]:
    """Open a connection that has served a request already."""
    host, port = node.front.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    connection = KeptConnection(reader, writer)
    assert await connection.send('/safe/a', 'first', 3_000) == (200, True)
    yield connection
    writer.close()


async def test_stopping_process_takes_no_request_that_it_would_cut(
    site: Site,
) -> None:
    """Guards against late requests that are passed on and then cut.

    Items keep the process alive, and the clients' connections have been open
    since before the stop.
    """
    site.grace_s = 6
    async with contextlib.AsyncExitStack() as stack:
        node = await stack.enter_async_context(site.spawned('node-1'))
        long_client, short_client = [
            await stack.enter_async_context(kept_connection(node))
            for _ in range(2)
        ]
        for engine in site.engines:
            engine.event_gap_s = 5.0 / EVENT_COUNT
        assert await site.submit(node, site.job(item_count=2), 'job-1') == 202
        await asyncio.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(3.5)
        short = await short_client.send('/safe/a', 'short', SHORT_DEADLINE_MS)
        late = await long_client.send('/stream/a', 'late', LONG_DEADLINE_MS)
        async with asyncio.timeout(2.5):
            assert await node.process.wait() == 0
    assert short == (200, True)
    assert late == (503, True)
    assert sum(engine.runs['late'] for engine in site.engines) == 0


async def test_stop_serves_what_it_took_before_the_notice(site: Site) -> None:
    """Guards against a stop that ends while such a request still runs."""
    site.grace_s = 8
    for engine in site.engines:
        engine.event_gap_s = 2.4 / EVENT_COUNT
    async with (
        site.spawned('node-1') as node,
        kept_connection(node) as client,
    ):
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.5)
        answer = await client.send('/stream/a', 'long', LONG_DEADLINE_MS)
        assert answer == (200, True)
        async with asyncio.timeout(2.0):
            assert await node.process.wait() == 0


async def test_short_stop_serves_what_it_took_at_its_start(
    site: Site,
) -> None:
    """Guards against a short grace period that cuts a request too early.

    The endpoint's work ends before the last sixth of the grace period.
    """
    site.grace_s = 2
    for engine in site.engines:
        engine.event_gap_s = 1.35 / EVENT_COUNT
    async with (
        site.spawned('node-1') as node,
        kept_connection(node) as client,
    ):
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        answer = await client.send('/stream/a', 'long', LONG_DEADLINE_MS)
        assert answer == (200, True)
        async with asyncio.timeout(1.0):
            assert await node.process.wait() == 0


@pytest.mark.parametrize('item_count', [0, 2])
async def test_stop_ends_in_time_while_the_store_is_away(
    site: Site, item_count: int
) -> None:
    """Guards against a stop that waits for the store until it is killed."""
    for engine in site.engines:
        engine.event_gap_s = 5.0 / EVENT_COUNT
    async with site.spawned('node-1') as node:
        assert (await site.send(node, '/safe/a'))[0] == 200
        if item_count:
            job = site.job(item_count=item_count)
            assert await site.submit(node, job, 'job-1') == 202
            await asyncio.sleep(0.3)
        site.store.is_down = True
        node.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(site.grace_s):
            assert await node.process.wait() == 0


SLOTS = 8


def allow_long_requests(site: Site) -> None:
    configuration = site.configuration(version=3)
    for route in configuration['routes']:
        route['timeoutMs'] = LONG_DEADLINE_MS
    site.configure(configuration)


async def test_stop_refuses_requests_that_still_wait(site: Site) -> None:
    """Guards against waiting requests that a stop cuts without an answer.

    All slots are taken until the end of the stop, and the request has time
    left.
    """
    allow_long_requests(site)
    async with contextlib.AsyncExitStack() as stack:
        node = await stack.enter_async_context(site.spawned('node-1'))
        clients = [
            await stack.enter_async_context(kept_connection(node))
            for _ in range(SLOTS + 2)
        ]
        site.plain.work_s = 10.0
        calls = [
            asyncio.create_task(
                client.send('/unsafe/a', f'call-{number}', LONG_DEADLINE_MS)
            )
            for number, client in enumerate(clients[:SLOTS])
        ]
        await asyncio.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        waiting = [
            client.send('/unsafe/a', f'waiting-{number}', LONG_DEADLINE_MS)
            for number, client in enumerate(clients[SLOTS:])
        ]
        answers = await asyncio.gather(*waiting)
        await asyncio.gather(*calls)
        assert await node.process.wait() == 0
    assert site.plain.runs['waiting-0'] + site.plain.runs['waiting-1'] == 0
    assert answers == [(503, True)] * 2


BODY_BYTES = 12 * 1024 * 1024
READ_BYTES = 256 * 1024
READ_PAUSE_S = 0.1


async def test_stop_waits_until_a_slow_client_has_its_response(
    site: Site,
) -> None:
    """Guards against the end of a response that is lost with the process.

    The kernel takes some megabytes, the rest waits in the process after the
    request has been handled.
    """

    async def answer(_: RawRequest, response: RawResponse) -> None:
        await response.write_response(b'x' * BODY_BYTES)

    allow_long_requests(site)
    site.grace_s = 8
    async with (
        raw_endpoint(answer) as endpoint,
        site.spawned('node-1') as node,
    ):
        site.move(site.plain, 'plain', endpoint.address)
        await asyncio.sleep(0.5)
        received_bytes = asyncio.create_task(_read_slowly(node))
        await asyncio.sleep(0.5)
        node.process.send_signal(signal.SIGTERM)
        assert await received_bytes == BODY_BYTES
        async with asyncio.timeout(site.grace_s):
            assert await node.process.wait() == 0


async def _read_slowly(node: SpawnedNode) -> int:
    """Return how many bytes of a body a slow client gets."""
    host, port = node.front.removeprefix('http://').split(':')
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    connection.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=READ_BYTES
    )
    writer.write(
        (
            f'POST /unsafe/a HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Authorization: Bearer {KEY}\r\nX-Request-Id: slow\r\n'
            f'X-Deadline-Ms: {LONG_DEADLINE_MS}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
    )
    await reader.readuntil(b'\r\n\r\n')
    received_bytes = 0
    with contextlib.suppress(ConnectionError):
        while received_bytes < BODY_BYTES:
            data = await reader.read(READ_BYTES)
            if not data:
                break
            received_bytes += len(data)
            await asyncio.sleep(READ_PAUSE_S)
    writer.close()
    return received_bytes


CLIENT_COUNT = 24
# Longest time until a connection closes on a request that is not answered.
LOSS_SLACK_S = 0.2
PATHS = ('/safe/a', '/unsafe/a', '/stream/a', '/resumable/a')


class LateCall(msgspec.Struct, frozen=True):
    """A request on a kept connection, with the time of its sending."""

    request_id: str
    path: str
    after_s: float
    deadline_ms: int


def random_calls(rng: random.Random) -> list[LateCall]:
    """Return requests at any moment of a grace period of 8 s.

    Half of them come while all requests are taken.
    """
    return [
        LateCall(
            f'call-{number}',
            rng.choice(PATHS),
            rng.uniform(0.0, 2.6) if number % 2 else rng.uniform(2.6, 7.6),
            rng.choice([3_000, 6_000, LONG_DEADLINE_MS]),
        )
        for number in range(CLIENT_COUNT)
    ]


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('with_changes', [False, True])
async def test_stop_cuts_no_request_on_open_connections(
    site: Site, seed: int, with_changes: bool
) -> None:
    """Guards against requests that any moment of a planned stop cuts.

    Two processes run a job; one of them is stopped while clients use their
    open connections. On top come a SIGHUP, a configuration, a weight version
    and the job's end.
    """
    rng = random.Random(seed)
    site.grace_s = 8
    allow_long_requests(site)
    for engine in site.engines:
        engine.event_gap_s = 1.2 / EVENT_COUNT
    calls = random_calls(rng)
    async with contextlib.AsyncExitStack() as stack:
        node = await stack.enter_async_context(site.spawned('node-1'))
        other = await stack.enter_async_context(site.spawned('node-2'))
        clients = [
            await stack.enter_async_context(kept_connection(node))
            for _ in calls
        ]
        assert await site.submit(node, site.job(item_count=12), 'job-1') == 202
        await asyncio.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        sent = [
            asyncio.create_task(_send_late(client, call))
            for client, call in zip(clients, calls, strict=True)
        ]
        if with_changes:
            await _change_everything(site, node, rng)
        answers = await asyncio.gather(*sent)
        async with asyncio.timeout(3.0):
            assert await node.process.wait() == 0
        results = await site.results(other, 'job-1', 12, timeout_s=15.0)
    assert {result['state'] for result in results} == {'completed'}
    _check_answers(site, calls, answers)


async def _send_late(
    client: KeptConnection, call: LateCall
) -> tuple[int, bool]:
    await asyncio.sleep(call.after_s)
    start_s = time.monotonic()
    answer = await client.send(call.path, call.request_id, call.deadline_ms)
    if answer[0] == 0:
        # Its connection was closed before it was read.
        assert time.monotonic() - start_s < LOSS_SLACK_S, call
    return answer


async def _change_everything(
    site: Site, node: SpawnedNode, rng: random.Random
) -> None:
    """Change configuration, settings and weights during a stop."""
    for version in (4, 5):
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        node.process.send_signal(signal.SIGHUP)
        configuration = site.configuration(version=version)
        for route in configuration['routes']:
            route['timeoutMs'] = LONG_DEADLINE_MS - version
        site.configure(configuration)
        site.name_version(version - 2)
        node.process.send_signal(signal.SIGTERM)


def _check_answers(
    site: Site, calls: list[LateCall], answers: list[tuple[int, bool]]
) -> None:
    """Check that nothing was cut, and that refused requests have not run."""
    for call, (status, is_whole) in zip(calls, answers, strict=True):
        runs = sum(
            endpoint.runs[call.request_id] for endpoint, _ in site.endpoints()
        )
        if status == 0:
            # The connection was closed before the request was read.
            assert runs == 0, call
            continue
        assert is_whole, call
        assert status in {200, 503, 504}, (call, status)
        assert status != 503 or runs == 0, call
    statuses = [status for status, _ in answers]
    assert statuses.count(200) > CLIENT_COUNT / 4
