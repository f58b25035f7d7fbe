"""The HTTP client keeps the port's contract with both stand-ins."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.adapters.http.endpoint_response import MAX_CHUNK_BYTES
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.messages import EndpointLoad
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import EndpointUnsupportedError
from dogwoodpost.standins import engine
from dogwoodpost.standins import plain_service
from dogwoodpost.standins.engine import EngineSettings
from tests.fakes.endpoint_caller import Caller
from tests.fakes.endpoint_caller import request_to
from tests.fakes.endpoint_caller import serve

if TYPE_CHECKING:
    from aiohttp import web

COMPLETION = msgspec.json.encode({'prompt': 'a', 'max_tokens': 40})
STREAM = msgspec.json.encode({'prompt': 'a', 'max_tokens': 40, 'stream': True})
PATH = '/v1/completions'


def make_app(kind: str) -> web.Application:
    if kind == 'engine':
        return engine.create_app(EngineSettings(token_rate_per_s=200.0))
    return plain_service.create_app()


BROKEN = {'break_stream_count': 1}
BROKEN_AT_END = {'break_stream_count': 1, 'break_after_tokens': 40}


@pytest.mark.parametrize(
    ('kind', 'path', 'body', 'faults', 'error'),
    [
        ('engine', PATH, COMPLETION, {'crashed': True}, 'no response'),
        ('engine', PATH, STREAM, {'hang': True}, 'silent'),
        ('engine', PATH, STREAM, BROKEN, 'broke off'),
        ('engine', PATH, STREAM, BROKEN_AT_END, 'broke off'),
        ('plain', '/drop', b'a', {}, 'no response'),
        ('plain', '/slow/60000', b'a', {}, 'silent'),
        ('plain', '@127.0.0.2/', b'a', {}, 'not a path'),
    ],
)
async def test_faults_end_in_an_endpoint_error(
    kind: str, path: str, body: bytes, faults: dict[str, Any], error: str
) -> None:
    """Guards against a failure that hangs, passes for a response or escapes
    the port's error.
    """
    async with serve(make_app(kind), silence_s=0.5) as caller:
        if faults:
            await caller.set_faults(**faults)
        with pytest.raises(EndpointError, match=error):
            await caller.call(path, body)


@pytest.mark.parametrize(
    ('fault', 'error'), [('crashed', 'broke off'), ('hang', 'silent')]
)
async def test_a_fault_within_a_stream_is_an_endpoint_error(
    fault: str, error: str
) -> None:
    """Guards against a stream that ends cleanly or never."""
    async with serve(make_app('engine'), silence_s=0.5) as caller:
        with pytest.raises(EndpointError, match=error):
            async with caller.client.call(request_to(PATH, STREAM)) as opened:
                chunks = opened.chunks()
                await anext(chunks)
                await caller.set_faults(**{fault: True})
                async for _ in chunks:
                    pass


async def test_an_endpoint_that_is_gone_is_an_endpoint_error() -> None:
    """Guards against connection errors that escape the port's error."""
    async with serve(make_app('plain')) as gone:
        pass
    async with serve(make_app('plain')) as other:
        caller = Caller(other.session, gone.url)
        for call in (
            caller.call('/a'),
            caller.client.load(),
            caller.client.command(EndpointAction.SET_ROLE, 'both', 1),
        ):
            with pytest.raises(EndpointError):
                await call
        await caller.client.cancel('r1')


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST', 'OPTIONS'])
@pytest.mark.parametrize('is_reused', [False, True])
async def test_a_lost_response_does_not_repeat_the_request(
    method: str, is_reused: bool
) -> None:
    """Guards against the HTTP library's own retries."""
    async with serve(make_app('plain')) as caller:
        if is_reused:
            await caller.call('/a', request_id='before')
        with pytest.raises(EndpointError):
            await caller.call('/drop', method=method)
        assert (await caller.counters())['executions']['r1'] == 1


@pytest.mark.parametrize('stream', [False, True])
async def test_keep_alives_bridge_a_long_wait(stream: bool) -> None:
    """Guards against healthy requests that are cut off while they wait."""
    settings = EngineSettings(token_rate_per_s=1.3, keep_alive_s=0.05)
    body = {'prompt': 'a', 'max_tokens': 1, 'stream': stream}
    async with serve(engine.create_app(settings), silence_s=1.0) as caller:
        status, _, data = await caller.call(PATH, msgspec.json.encode(body))
    assert status == 200
    assert data.strip().endswith(b'[DONE]' if stream else b'}')


async def test_the_time_limit_ends_a_request_that_is_alive() -> None:
    """Guards against keep-alives that outlast the deadline."""
    settings = EngineSettings(token_rate_per_s=0.01, keep_alive_s=0.05)
    async with serve(engine.create_app(settings)) as caller:
        with pytest.raises(EndpointError, match='of the request'):
            await caller.call(PATH, STREAM, timeout_s=0.5)
        await caller.wait_for_running(0)


async def test_a_plain_response_passes_through() -> None:
    """Guards against changed bodies, and headers of another connection."""
    passed = (('X-Kept', 'a'), ('X-Kept', 'b'), ('Content-Type', 'text/x-own'))
    dropped = (
        ('Connection', 'X-Listed'),
        ('X-Listed', 'dropped'),
        ('TE', 'trailers'),
        ('Host', 'elsewhere'),
        ('Authorization', 'Bearer key'),
        ('Cookie', 'key'),
    )
    async with serve(make_app('plain')) as caller:
        path = '/a%2Fb?q=%20x'
        status, answered, data = await caller.call(
            path, b'body', method='PATCH', headers=passed + dropped
        )
        assert (await caller.counters())['secret_count'] == 0
    echo = msgspec.json.decode(data)
    assert (status, echo['method'], echo['body']) == (200, 'PATCH', 'body')
    assert (echo['raw_path'], echo['query']) == (path, 'q=%20x')
    assert 'transfer-encoding' not in {name.lower() for name in answered}
    received = [(name.lower(), value) for name, value in echo['headers']]
    added = {'host', 'content-length', 'x-request-id'}
    added |= {'x-request-priority', 'x-request-timeout-ms'}
    rest = [item for item in received if item[0] not in added]
    assert rest == [(name.lower(), value) for name, value in passed]
    assert ('host', 'elsewhere') not in received


async def test_a_large_body_comes_in_bounded_chunks() -> None:
    """Guards against responses that are held in memory as a whole."""
    body = b'x' * (3 * 1024 * 1024)
    async with serve(make_app('plain')) as caller:
        async with caller.client.call(request_to('/a', body)) as response:
            sizes = [len(chunk) async for chunk in response.chunks()]
    assert max(sizes) <= MAX_CHUNK_BYTES
    assert sum(sizes) > len(body)


@pytest.mark.parametrize('kind', ['engine', 'plain'])
async def test_a_head_can_be_sent_to_an_entry(kind: str) -> None:
    """Guards against header names of a type that messages do not take."""
    async with serve(make_app(kind)) as caller:
        async with caller.client.call(request_to(PATH, STREAM)) as response:
            encoded = msgspec.msgpack.encode(response.headers)
    names = {name.lower() for name, _ in msgspec.msgpack.decode(encoded)}
    assert 'content-type' in names


@pytest.mark.parametrize(('kind', 'version'), [('engine', 1), ('plain', None)])
async def test_load_of_both_kinds(kind: str, version: int | None) -> None:
    """Guards against plain services that look overloaded or dead."""
    expected = EndpointLoad(
        endpoint_id='e1',
        running_count=0,
        waiting_count=0,
        weight_version=version,
    )
    async with serve(make_app(kind)) as caller:
        assert await caller.client.load() == expected


@pytest.mark.parametrize(
    ('action', 'argument', 'number', 'error'),
    [
        (EndpointAction.LOAD_WEIGHTS, '2', 4, 'old_fencing_number'),
        (EndpointAction.SWITCH_WEIGHTS, '9', 5, 'not_loaded'),
        (EndpointAction.LOAD_WEIGHTS, 'new', 5, 'no weight version'),
        (EndpointAction.DRAIN, '', 5, 'no order drain'),
    ],
)
async def test_refused_orders_are_endpoint_errors(
    action: EndpointAction, argument: str, number: int, error: str
) -> None:
    """Guards against a refused order that passes for a success."""
    async with serve(make_app('engine')) as caller:
        await caller.client.command(EndpointAction.LOAD_WEIGHTS, '2', 5)
        with pytest.raises(EndpointError, match=error):
            await caller.client.command(action, argument, number)


async def test_orders_to_a_plain_service_fail() -> None:
    """Guards against orders that a service only echoes."""
    async with serve(make_app('plain')) as caller:
        for call in (
            caller.client.command(EndpointAction.SET_ROLE, 'both', 1),
            caller.client.cache_events(0),
        ):
            with pytest.raises(EndpointUnsupportedError):
                await call
        await caller.client.cancel('r1')
        assert (await caller.counters())['started_count'] == 0


async def test_the_priority_reaches_the_engine() -> None:
    """Guards against requests that all wait in order of arrival."""
    settings = EngineSettings(token_rate_per_s=400.0, max_running_count=1)
    ended: list[str] = []

    async def complete(name: str, priority: int) -> None:
        await caller.complete(prompt=name, max_tokens=20, priority=priority)
        ended.append(name)

    async with (
        serve(engine.create_app(settings)) as caller,
        asyncio.TaskGroup() as tasks,
    ):
        waiting = (('first', 0), ('low', -1), ('high', 1))
        for count, (name, priority) in enumerate(waiting, 1):
            tasks.create_task(complete(name, priority))
            await caller.wait_for(
                'counters',
                lambda found, count=count: found['started_count'] == count,
            )
    assert ended == ['first', 'high', 'low']


async def test_cache_events_tell_of_blocks_and_start_anew() -> None:
    """Guards against an agent that keeps blocks of a restarted engine."""
    async with serve(make_app('engine')) as caller:
        await caller.complete(prompt='word ' * 200, max_tokens=1)
        first = await caller.client.cache_events(0)
        assert first is not None
        assert (first.cleared, len(first.stored)) == (True, 3)
        assert await caller.client.cache_events(first.last_sequence) is None
        await caller.set_faults(crashed=True)
        await caller.set_faults()
        after = await caller.client.cache_events(first.last_sequence)
        assert after is not None
        assert (after.cleared, after.stored) == (True, ())
