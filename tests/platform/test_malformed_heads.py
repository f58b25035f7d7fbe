"""Responses of endpoints with malformed heads reach no client."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import structlog.testing

from dogwoodpost.core import ids
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.endpoint_gateway import SwitchMode
from dogwoodpost.ports.endpoint_gateway import VersionOrder
from tests.fakes.pipeline import endpoint
from tests.platform.malformed_responses import HEADS
from tests.platform.malformed_responses import MalformedResponses
from tests.platform.malformed_responses import MARK
from tests.platform.malformed_responses import SOUND_BODY
from tests.platform.opened_gateway import endpoint_call
from tests.platform.opened_gateway import opened_gateway
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.raw_client import raw_call
from tests.platform.raw_endpoint import event
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from tests.platform.platform_site import Site
    from tests.platform.raw_endpoint import RawEndpoint

_TIMEOUT_S = 3.0
# Heads of each kind, for tests that take longer.
CHOSEN_HEADS = (
    'status_000',
    'status_999',
    'blank_after_Transfer-Encoding : chunked',
    'blank_after_Connection : close',
    "name_'X-\\x00Odd'",
    "value_'\\x0b'",
    "first_' X-Odd: a'",
    "coding_'Transfer-Encoding: odd'",
    "coding_'Transfer-Encoding: odd, chunked'",
)
REPEATABLE_PATHS = ('/safe/a', '/resumable/a')
SEND_ONCE_PATHS = ('/unsafe/a', '/stream/a')
ORDER = VersionOrder(
    model=ids.ModelName('model-a'),
    version=ids.WeightVersion(2),
    mode=SwitchMode.RESET,
    expected_sequence=1,
)
WHOLE_STREAM = b''.join(event(number) for number in range(EVENT_COUNT))


async def connect(site: Site, raw: RawEndpoint) -> None:
    """Replace all endpoints of a site by a stand-in."""
    site.move(site.plain, 'plain', raw.address)
    for engine in site.engines:
        site.move(engine, 'engines', raw.address)
    await asyncio.sleep(0.5)


@pytest.mark.parametrize('reuses', [False, True])
@pytest.mark.parametrize('name', HEADS)
async def test_malformed_head_is_an_error(name: str, reuses: bool) -> None:
    """Guards against malformed heads that count as responses.

    The connection must not be kept: what follows the head may be of another
    response.
    """
    responses = MalformedResponses(HEADS[name], is_stream=False)
    async with (
        raw_endpoint(responses.answer) as raw,
        opened_gateway() as gateway,
    ):
        target = endpoint('e', 'plain', address=raw.address)
        for number in range(2):
            responses.malformed_left = 1
            call = endpoint_call(f'malformed-{number}', reuses=reuses)
            with pytest.raises(EndpointError) as caught:
                async with (
                    asyncio.timeout(_TIMEOUT_S),
                    gateway.open(target, call) as reply,
                ):
                    async for _ in reply.chunks():
                        pass
            assert 'malformed' in str(caught.value)
            assert MARK not in str(caught.value)
            call = endpoint_call(f'sound-{number}', reuses=reuses)
            async with gateway.open(target, call) as reply:
                body = b''.join([data async for data in reply.chunks()])
            assert body == SOUND_BODY
    assert raw.request_count == 4
    assert raw.connection_count == (3 if reuses else 4)


@pytest.mark.parametrize('name', HEADS)
async def test_malformed_head_is_no_report_and_no_outcome_of_an_order(
    name: str,
) -> None:
    """Guards against orders that count as accepted or refused."""
    responses = MalformedResponses(HEADS[name], is_stream=False)
    async with (
        raw_endpoint(responses.answer) as raw,
        opened_gateway() as gateway,
    ):
        target = endpoint('e', 'engines', address=raw.address)
        responses.malformed_left = 2
        with pytest.raises(EndpointError, match='malformed response head'):
            await gateway.report(target)
        with pytest.raises(EndpointError, match='malformed response head'):
            await gateway.order(target, ORDER, lambda: ids.FencingNumber(1))
        assert responses.malformed_left == 0


@pytest.mark.parametrize('name', CHOSEN_HEADS)
@pytest.mark.parametrize('path', REPEATABLE_PATHS)
async def test_request_is_repeated_after_a_malformed_head(
    site: Site, path: str, name: str
) -> None:
    """Guards against malformed heads that end a request.

    The log names the request and the reason, without the endpoint's bytes.
    """
    is_stream = 'safe' not in path
    responses = MalformedResponses(HEADS[name], is_stream=is_stream)
    async with (
        raw_endpoint(responses.answer) as raw,
        site.node('node-1') as node,
    ):
        await connect(site, raw)
        for version in ('1.0', '1.1'):
            responses.malformed_left = 1
            with structlog.testing.capture_logs() as logs:
                received = await raw_call(node, path, version=version)
            assert received.status == 200
            assert MARK not in str(received)
            expected = WHOLE_STREAM if is_stream else SOUND_BODY
            assert received.content == expected
            first, second = (log for log in logs if log['event'] == 'attempt')
            assert not first['completed']
            assert second['completed']
            assert first['request_id'] == received.headers['x-request-id']
            assert 'malformed' in first['detail']
            assert MARK not in str(logs)
    assert raw.request_count == 4


@pytest.mark.parametrize('name', CHOSEN_HEADS)
@pytest.mark.parametrize('path', SEND_ONCE_PATHS)
async def test_request_is_sent_once_despite_a_malformed_head(
    site: Site, path: str, name: str
) -> None:
    """Guards against a second run, and against hidden unknown outcomes."""
    responses = MalformedResponses(HEADS[name], is_stream=False)
    async with (
        raw_endpoint(responses.answer) as raw,
        site.node('node-1') as node,
    ):
        await connect(site, raw)
        responses.malformed_left = 1
        with structlog.testing.capture_logs() as logs:
            received = await raw_call(node, path, version='1.1')
    assert raw.request_count == 1
    assert received.status == 502
    assert b'outcome_unknown' in received.body
    assert MARK not in str(received)
    assert 'malformed' in next(
        log['detail'] for log in logs if log['event'] == 'attempt'
    )
    assert MARK not in str(logs)


@pytest.mark.parametrize('name', CHOSEN_HEADS)
@pytest.mark.parametrize('path', REPEATABLE_PATHS + SEND_ONCE_PATHS)
async def test_malformed_heads_reach_no_client(
    site: Site, path: str, name: str
) -> None:
    """Guards against malformed heads that pass once no attempt is left."""
    responses = MalformedResponses(HEADS[name], is_stream='safe' not in path)
    async with (
        raw_endpoint(responses.answer) as raw,
        site.node('node-1') as node,
    ):
        await connect(site, raw)
        responses.malformed_left = 1_000
        received = await raw_call(node, path, version='1.1')
    assert raw.request_count
    assert received.status == 502
    assert MARK not in str(received)


@pytest.mark.parametrize('name', CHOSEN_HEADS)
async def test_items_and_scores_survive_malformed_heads(
    site: Site, name: str
) -> None:
    """Guards against malformed heads in texts, scores and failed items."""
    item_responses = MalformedResponses(HEADS[name], is_stream=True)
    score_responses = MalformedResponses(HEADS[name], is_stream=False)
    async with (
        raw_endpoint(item_responses.answer) as engines,
        raw_endpoint(score_responses.answer) as plain,
        site.node('node-1') as node,
    ):
        for engine in site.engines:
            site.move(engine, 'engines', engines.address)
        site.move(site.plain, 'plain', plain.address)
        await asyncio.sleep(0.5)
        item_responses.malformed_left = 2
        score_responses.malformed_left = 2
        job = site.job(item_count=2)
        assert await site.submit(node, job, 'job-1') == 202
        results = await site.results(node, 'job-1', 2)
    assert {result['id']: result['score'] for result in results} == {
        item['id']: f'signed-{item["scorer"]["id"]}'
        for item in job['requests']
    }
    assert {result['text'] for result in results} == {
        '\n'.join(f'piece {number}' for number in range(EVENT_COUNT))
    }
    assert MARK not in str(results)
