"""Requests whose key ends, whose caller disconnects or whose entry stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.services.entry.http import ACTIVE_REQUESTS
from dogwoodpost.services.entry.http import LIFECYCLE

if TYPE_CHECKING:
    from aiohttp.test_utils import TestClient
    from conftest import FakeConfiguration

    from dogwoodpost.core.routing import Router
    from dogwoodpost.ports.attempt_runner import AttemptEnd
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from tests.fakes.pipeline import FakeRunner

LAB = {'Authorization': 'Bearer lab-secret-key'}
STREAM = {'model': 'slate-lm', 'prompt': 'p', 'stream': True}
SSE_HEAD = AttemptHead(200, (('Content-Type', 'text/event-stream'),))


async def wait_until(condition: object) -> None:
    async with asyncio.timeout(5.0):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def revoke(configuration: FakeConfiguration) -> None:
    current = configuration.current()
    record = msgspec.structs.replace(current.keys['lab'], revoked=True)
    keys = {**current.keys, 'lab': record}
    configuration.publish(msgspec.structs.replace(current, keys=keys))


def disable(configuration: FakeConfiguration) -> None:
    current = configuration.current()
    account = current.client_accounts['lab']
    account = msgspec.structs.replace(account, enabled=False)
    accounts = {**current.client_accounts, 'lab': account}
    configuration.publish(
        msgspec.structs.replace(current, client_accounts=accounts)
    )


@pytest.mark.parametrize(
    ('change', 'code'),
    [(revoke, 'key_revoked'), (disable, 'client_account_disabled')],
)
async def test_open_stream_ends_with_its_key(
    client: TestClient,
    runner: FakeRunner,
    configuration: FakeConfiguration,
    change: object,
    code: str,
) -> None:
    """Guards against open streams that outlive their key."""
    runner.default = [SSE_HEAD, AttemptData(b'data: 1\n\n'), asyncio.Event()]
    response = await client.post('/v1/completions', json=STREAM, headers=LAB)
    assert await response.content.readline() == b'data: 1\n'
    change(configuration)
    rest = await response.text()
    assert f'event: error\ndata: {{"error":{{"code":"{code}"' in rest
    assert runner.cancelled_count == 1
    # The key is checked again for a new request on the same connection.
    again = await client.post('/v1/completions', json=STREAM, headers=LAB)
    assert again.status in {401, 403}


async def test_waiting_request_ends_with_its_key(
    client: TestClient,
    runner: FakeRunner,
    configuration: FakeConfiguration,
    pipeline: RequestPipeline,
) -> None:
    """Guards against a queue that runs requests of revoked keys."""
    for name in ('slate-1', 'slate-2'):
        pipeline.router.upsert(
            msgspec.structs.replace(
                pipeline.router._pools['slate'].endpoints[name],
                weight_version=None,
            ),
            0.0,
        )
    body = {**STREAM, 'min_weight_version': 9}
    task = asyncio.create_task(
        client.post('/v1/completions', json=body, headers=LAB)
    )
    await wait_until(lambda: pipeline.admission.waiting_count('slate'))
    revoke(configuration)
    response = await task
    error = (await response.json())['error']
    assert (error['code'], error['not_run']) == ('key_revoked', True)
    assert pipeline.admission.waiting_count('slate') == 0
    assert runner.specs == []


async def test_stale_configuration_ends_open_streams(
    client: TestClient, runner: FakeRunner, configuration: FakeConfiguration
) -> None:
    """Guards against streams that continue while keys cannot be checked."""
    runner.default = [SSE_HEAD, AttemptData(b'data: 1\n\n'), asyncio.Event()]
    response = await client.post('/v1/completions', json=STREAM, headers=LAB)
    await response.content.readline()
    configuration.fresh = False
    active = client.app[ACTIVE_REQUESTS]
    active.check_freshness(0.0)
    active.check_freshness(0.9)
    assert len(active) == 1
    active.check_freshness(1.1)
    assert '"configuration_stale"' in await response.text()


async def test_disconnect_cancels_the_attempt(
    client: TestClient, runner: FakeRunner
) -> None:
    """Guards against attempts that continue after a caller disconnects."""
    runner.default = [asyncio.Event()]
    task = asyncio.create_task(client.get('/quarry', headers=LAB))
    await wait_until(lambda: runner.specs)
    task.cancel()
    await wait_until(lambda: runner.cancelled_count)
    await wait_until(lambda: not len(client.app[ACTIVE_REQUESTS]))


async def test_stop_finishes_running_requests(
    client: TestClient, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against a graceful stop that aborts a running request."""
    gate = asyncio.Event()
    runner.default = [AttemptHead(200, ()), gate, completed]
    task = asyncio.create_task(client.get('/quarry', headers=LAB))
    await wait_until(lambda: runner.specs)
    lifecycle = client.app[LIFECYCLE]
    lifecycle.begin_stop()
    assert not await lifecycle.wait_idle(0.0)
    refused = await client.get('/quarry', headers=LAB)
    error = (await refused.json())['error']
    assert (refused.status, error['code']) == (503, 'stopping')
    assert error['not_run'] is True
    assert refused.headers['Connection'] == 'close'
    gate.set()
    assert (await task).status == 200
    assert await lifecycle.wait_idle(5.0)


async def test_broken_plain_response_looks_incomplete(
    client: TestClient, runner: FakeRunner
) -> None:
    """Guards against a truncated body that looks complete."""
    head = AttemptHead(200, (('Content-Type', 'text/plain'),))
    runner.default = [head, AttemptData(b'half')]
    response = await client.get('/quarry', headers=LAB)
    with pytest.raises(Exception, match='payload'):
        await response.read()


async def test_failed_request_releases_endpoint_load(
    client: TestClient, runner: FakeRunner, router: Router
) -> None:
    """Guards against a failed request that counts as load for ever."""
    runner.scripts = [[RuntimeError('bug')]]
    response = await client.get('/quarry', headers=LAB)
    assert response.status == 500
    loads = router._pools['quarry'].loads.values()
    assert [load.own_count for load in loads] == [0, 0]
