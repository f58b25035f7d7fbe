"""Requests and batch jobs end to end, with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest
import structlog.testing

from dogwoodpost.standins.memory_row_store import RowFault
from dogwoodpost.standins.site.sampler_app import SamplerFault
from tests.platform.platform_site import ACCOUNT
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import HOST
from tests.platform.platform_site import KEY
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from tests.platform.platform_site import Site

TEXT = '\n'.join(f'piece {number}' for number in range(EVENT_COUNT))


async def test_request_reaches_its_endpoint_for_its_account(
    site: Site,
) -> None:
    """Guards against forwarded keys and against accounts set by clients."""
    async with site.node('node-1') as node:
        status, headers, body = await site.send(
            node,
            '/safe/a?x=1%2F2',
            body=b'hello',
            request_id='r-1',
            headers={'X-Tenant': 'somebody-else', 'X-Custom': 'kept'},
        )
    assert (status, body) == (200, b'echo:hello')
    assert headers['X-Response-Signature'] == 'signed-r-1'
    seen = site.plain.requests[0]
    assert seen.path == '/safe/a?x=1%2F2'
    assert seen.headers['X-Tenant'] == ACCOUNT
    assert seen.headers['X-Custom'] == 'kept'
    assert seen.headers['X-Expect-Instance'] == 'plain-0'
    assert 0 < int(seen.headers['X-Deadline-Ms']) <= 3000
    assert KEY not in str(seen.headers)


@pytest.mark.parametrize(
    'target',
    ['/safe/a?', '/safe/a??', '/safe/a#b', '/safe/a?x=1#y', '/safe//a?%2F&'],
)
async def test_path_and_query_reach_the_endpoint_unchanged(
    site: Site, target: str
) -> None:
    """Guards against a query that is dropped or changed on the way."""
    async with site.node('node-1') as node:
        host, port = node.front.removeprefix('http://').split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            (
                f'POST {target} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'Authorization: Bearer {KEY}\r\nX-Request-Id: r\r\n'
                'X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n'
            ).encode()
        )
        head = await reader.readuntil(b'\r\n\r\n')
        writer.close()
    assert head.startswith(b'HTTP/1.1 200')
    assert [seen.path for seen in site.plain.requests] == [target]


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/safe/a', 'unknown-key', 401),
        ('/safe/a', None, 401),
        ('/nowhere/a', KEY, 404),
        ('/score/a', None, 200),
    ],
)
async def test_configuration_decides_on_access(
    site: Site, path: str, key: str | None, status: int
) -> None:
    """Guards against running requests without a route or a valid key."""
    async with site.node('node-1') as node:
        answer = await site.send(node, path, key=key)
    assert answer[0] == status
    assert len(site.plain.requests) == (status == 200)


@pytest.mark.parametrize(
    ('fault', 'safe', 'unsafe', 'unsafe_runs'),
    [
        (SamplerFault.FULL, 200, 200, 1),
        (SamplerFault.RESET, 200, 502, 1),
        (SamplerFault.FAIL, 200, 500, 1),
        (SamplerFault.OTHER_RESPONSE, 200, 502, 1),
    ],
)
async def test_endpoint_fault_is_retried_only_if_safe(
    site: Site,
    fault: SamplerFault,
    safe: int,
    unsafe: int,
    unsafe_runs: int,
) -> None:
    """Guards against second runs of requests that may run only once."""
    async with site.node('node-1') as node:
        site.plain.faults.append(fault)
        answer = await site.send(node, '/safe/a')
        assert answer[0] == safe
        site.plain.faults.append(fault)
        answer = await site.send(node, '/unsafe/a', request_id='once')
    assert answer[0] == unsafe
    assert site.plain.runs['once'] == unsafe_runs


@pytest.mark.parametrize(
    'method', ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST']
)
@pytest.mark.parametrize('path', ['/unsafe/a', '/stream/a'])
async def test_request_that_may_run_once_is_sent_once_with_any_method(
    site: Site, path: str, method: str
) -> None:
    """Guards against a library that repeats methods it takes for safe."""
    async with site.node('node-1') as node:
        assert (await site.send(node, '/unsafe/a'))[0] == 200
        for endpoint, _ in site.endpoints():
            endpoint.faults.append(SamplerFault.RESET)
        status, _, _ = await site.send(
            node, path, request_id='once', method=method
        )
    assert status == 502
    runs = sum(endpoint.runs['once'] for endpoint, _ in site.endpoints())
    assert runs == 1


async def test_request_for_a_reused_address_is_refused(
    site: Site,
) -> None:
    """Guards against requests that run at an endpoint of another service.

    Another endpoint has taken over the address, and the entry in service
    discovery is outdated.
    """
    site.plain.endpoint_id = 'successor'
    async with site.node('node-1') as node:
        status, _, _ = await site.send(node, '/unsafe/a')
    assert status == 503
    assert site.plain.requests == []


async def test_removed_key_and_route_stop(site: Site) -> None:
    """Guards against late, ignored and outdated configurations."""
    async with site.node('node-1') as node:
        assert (await site.send(node, '/safe/a'))[0] == 200
        changed = site.configuration(version=5)
        changed['tenants'] = [{'name': ACCOUNT, 'apiKeys': ['another']}]
        site.configure(changed)
        await asyncio.sleep(0.6)
        assert (await site.send(node, '/safe/a'))[0] == 401
        # An older version is never applied.
        site.configure(site.configuration(version=4))
        await asyncio.sleep(0.6)
        assert (await site.send(node, '/safe/a'))[0] == 401


async def test_batch_job_is_run_scored_and_listed(site: Site) -> None:
    """Guards against lost, repeated or unscored results."""
    job = site.job(item_count=5)
    async with site.node('node-1') as first, site.node('node-2') as second:
        assert await site.submit(first, job, 'job-1') == 202
        assert await site.submit(second, job, 'job-1') == 202
        results = await site.results(second, 'job-1', 5)
        again = await site.results(first, 'job-1', 5)
    assert results == again
    assert sorted(item['id'] for item in results) == sorted(
        item['id'] for item in job['requests']
    )
    scorers = {item['id']: item['scorer']['id'] for item in job['requests']}
    for result in results:
        assert result['state'] == 'completed'
        assert result['text'] == TEXT
        assert result['versions'] == [1]
        assert result['score'] == f'signed-{scorers[result["id"]]}'
    runs = sum(
        (engine.runs for engine in site.engines),
        start=type(site.engines[0].runs)(),
    )
    assert set(runs.values()) == {1}


@pytest.mark.parametrize(
    ('fault', 'state'),
    [
        (SamplerFault.CUT_STREAM, 'completed'),
        (SamplerFault.CUT_AFTER_LAST_EVENT, 'completed'),
        (SamplerFault.RESET, 'completed'),
        (SamplerFault.FULL, 'completed'),
        (SamplerFault.FAIL, 'completed'),
        (SamplerFault.NEVER, 'errored'),
    ],
)
async def test_item_is_completed_despite_engine_faults(
    site: Site, fault: SamplerFault, state: str
) -> None:
    """Guards against texts with missing, repeated or cut-off pieces."""
    for engine in site.engines:
        engine.faults.append(fault)
    async with site.node('node-1') as node:
        await site.submit(node, site.job(item_count=1), 'job-1')
        results = await site.results(node, 'job-1', 1)
    assert results[0]['state'] == state
    assert results[0]['text'] == (TEXT if state == 'completed' else '')


@pytest.mark.parametrize(
    'fault',
    [
        SamplerFault.CUT_STREAM,
        SamplerFault.CUT_AFTER_LAST_EVENT,
        SamplerFault.SILENT,
        SamplerFault.RESET,
        SamplerFault.FAIL,
    ],
)
async def test_resumable_stream_continues_in_the_same_response(
    site: Site, fault: SamplerFault
) -> None:
    """Guards against streams that end when their first engine fails."""
    site.engines[0].faults.append(fault)
    site.engines[1].faults = site.engines[0].faults
    async with site.node('node-1') as node:
        status, headers, body = await site.send(
            node, '/resumable/a', headers={'X-Model': MODEL}
        )
    assert status == 200
    assert headers['Content-Type'] == 'text/event-stream'
    events = body.decode().split('\n\n')[:-1]
    assert events == [
        f'id: {number}\ndata: piece {number}' for number in range(EVENT_COUNT)
    ]
    runs = sum(len(engine.requests) for engine in site.engines)
    assert runs == 2


async def test_client_that_resumes_a_stream_gets_the_rest(site: Site) -> None:
    """Guards against the loss of a client's Last-Event-Id on a retry."""
    site.engines[0].faults.append(SamplerFault.CUT_STREAM)
    site.engines[1].faults = site.engines[0].faults
    async with site.node('node-1') as node:
        status, _, body = await site.send(
            node,
            '/resumable/a',
            headers={'X-Model': MODEL, 'Last-Event-Id': '1'},
        )
    assert status == 200
    assert body.count(b'id: ') == EVENT_COUNT - 2
    assert body.startswith(b'id: 2\n')


async def test_broken_stream_that_is_not_resumable_is_aborted(
    site: Site,
) -> None:
    """Guards against a second run and a response that looks complete."""
    site.engines[0].faults.append(SamplerFault.CUT_STREAM)
    site.engines[1].faults = site.engines[0].faults
    async with site.node('node-1') as node:
        with pytest.raises(aiohttp.ClientError):
            await site.send(node, '/stream/a', headers={'X-Model': MODEL})
    assert sum(len(engine.requests) for engine in site.engines) == 1


async def test_late_second_response_is_not_taken_for_a_score(
    site: Site,
) -> None:
    """Guards against scores from a response to an earlier attempt.

    All attempts of a scorer call have the same request id. A second response
    to the failed attempt was taken for the response to the next attempt on the
    same connection (trouble-3 of the enlarged Pizarra site).
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)
        is_first_connection = len(connections) == 1
        for request_index in itertools.count():
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.decode().split('\r\n')[1:-2]
            )
            await reader.readexactly(int(fields.get('content-length', 0)))
            failed = is_first_connection and request_index == 0
            status = '500 Failed' if failed else '200 OK'
            signature = 'late' if is_first_connection else 'right'
            writer.write(
                f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n'
                f'X-Request-Id: {fields["x-request-id"]}\r\n'
                f'X-Response-Signature: {signature}\r\n\r\n'.encode()
            )

    connections: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    site.move(site.plain, 'plain', f'{host}:{port}')
    async with site.node('node-1') as node:
        await site.submit(node, site.job(item_count=1), 'job-1')
        results = await site.results(node, 'job-1', 1)
    server.close()
    assert results[0]['score'] == 'right'


async def test_routes_open_to_all_are_not_limited(site: Site) -> None:
    """Guards against refusals by limits that are not configured.

    All requests without a client account shared the default limits of a single
    account, so the 257th request that waited at a process was refused.
    """
    site.plain.work_s = 0.5
    async with site.node('node-1') as node:
        answers = await asyncio.gather(
            *(site.send(node, '/score/a', key=None) for _ in range(330))
        )
    statuses = {status for status, _, _ in answers}
    assert 200 in statuses
    assert 429 not in statuses


async def test_slow_scoring_completes_the_item(site: Site) -> None:
    """Guards against a score that never arrives because scoring is slow.

    Scoring one text took longer than the time limit of an attempt, so every
    attempt was aborted and the training step waited until its end (trouble-2
    of the enlarged Swanbourne site).
    """
    site.plain.work_s = 1.4
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(item_count=2), 'job-1') == 202
        results = await site.results(node, 'job-1', 2)
    assert {result['state'] for result in results} == {'completed'}


async def test_item_bodies_and_ending_a_job(site: Site) -> None:
    """Guards against items that still run after their job has ended."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 4)
    job = site.job(item_count=2)
    item_id = job['requests'][0]['id']
    async with site.node('node-1') as node:
        await site.submit(node, job, 'job-1')
        body = await site.send(
            node, f'/api/items/job-1?id={item_id}', method='GET'
        )
        assert (body[0], body[2]) == (200, b'prompt')
        missing = await site.send(node, '/api/items/none?id=x', method='GET')
        assert missing[0] == 404
        for _ in range(2):
            end = await site.send(node, '/api/lots/job-1', method='DELETE')
            assert end[0] == 200
        page = await site.send(
            node,
            '/api/lots/job-1?after=0',
            method='GET',
            headers={'X-Wait-Ms': '5000'},
        )
        assert msgspec.json.decode(page[2])['results'] == []
        assert node.process.running_item_count == 0


async def test_job_is_hidden_from_other_accounts(site: Site) -> None:
    """Guards against showing results to another client account."""
    changed = site.configuration(version=3)
    changed['tenants'].append({'name': 'others', 'apiKeys': ['other-key']})
    site.configure(changed)
    async with site.node('node-1') as node:
        await site.submit(node, site.job(item_count=1), 'job-1')
        answer = await site.send(
            node, '/api/lots/job-1?after=0', method='GET', key='other-key'
        )
    assert answer[0] == 404


async def test_announced_version_is_ordered_once(site: Site) -> None:
    """Guards against versions that are not loaded, or loaded twice."""
    async with site.node('node-1') as node, site.node('node-2'):
        for version in (2, 3):
            site.name_version(version)
            await asyncio.sleep(1.6)
        await site.submit(node, site.job(item_count=2, min_version=3), 'job-1')
        results = await site.results(node, 'job-1', 2)
    assert {tuple(result['versions']) for result in results} == {(3,)}
    for engine in site.engines:
        ordered = [order.version for order in engine.orders]
        assert ordered == sorted(set(ordered))
        assert [order.expected for order in engine.orders] == list(
            range(len(engine.orders))
        )


async def test_usage_is_reported_once_per_window(site: Site) -> None:
    """Guards against windows that are reported twice or not at all."""
    async with site.node('node-1') as first, site.node('node-2') as second:
        for node in (first, second, first):
            assert (await site.send(node, '/safe/a'))[0] == 200
        await asyncio.sleep(8.0)
    windows = [call.window for call in site.duties.calls]
    assert len(windows) == len(set(windows))
    total = sum(call.counts.get(ACCOUNT, 0) for call in site.duties.calls)
    assert total == 3


async def test_scaled_service_is_ordered_by_one_holder(
    site: Site,
) -> None:
    """Guards against services that are not scaled to their minimum.

    The limits of the other service can't be read and must not matter.
    """
    changed = site.configuration(version=3)
    changed['services'][1]['scale'] = {'min': 3, 'max': 4, 'bootS': 2.0}
    changed['services'][0]['scale'] = {'min': 'unreadable'}
    site.configure(changed)
    async with site.node('node-1') as node, site.node('node-2'):
        assert (await site.send(node, '/safe/a'))[0] == 200
        await asyncio.sleep(5.0)
    scale_calls = site.duties.scale_calls
    assert {
        (scale_call.service, scale_call.zone, scale_call.desired)
        for scale_call in scale_calls
    } == {('engines', 'zone-a', 3)}
    assert (
        len(
            {
                (scale_call.holder, scale_call.fencing_token)
                for scale_call in scale_calls
            }
        )
        == 1
    )


async def test_resubmitted_groups_continue_from_their_text(
    site: Site,
) -> None:
    """Guards against generating the text of resubmitted items again."""
    for engine in site.engines:
        engine.faults.extend([None, SamplerFault.SILENT] * 2)
    job = site.job(item_count=4)
    async with site.node('node-1') as first, site.node('node-2') as second:
        await site.submit(first, job, 'job-1')
        await site.results(first, 'job-1', 2)
        await asyncio.sleep(0.2)
        await site.send(second, '/api/lots/job-1', method='DELETE')
        await asyncio.sleep(0.5)
        for engine in site.engines:
            engine.faults.clear()
            engine.requests.clear()
        await site.submit(second, job, 'job-2')
        results = await site.results(second, 'job-2', 4)
    assert {result['text'] for result in results} == {TEXT}
    runs = [request for engine in site.engines for request in engine.requests]
    last_event_ids = [
        value
        for run in runs
        for name, value in run.headers.items()
        if name.lower() == 'last-event-id'
    ]
    assert last_event_ids == [str(EVENT_COUNT // 2)] * 2


async def test_text_of_a_too_old_version_is_not_reused(site: Site) -> None:
    """Guards against samples of versions below the job's minimum version."""
    for engine in site.engines:
        engine.faults.extend([SamplerFault.SILENT] * 2)
    job = site.job(item_count=2)
    async with site.node('node-1') as node:
        await site.submit(node, job, 'job-1')
        await asyncio.sleep(0.3)
        await site.send(node, '/api/lots/job-1', method='DELETE')
        for engine in site.engines:
            engine.faults.clear()
            engine.versions = {MODEL: 2}
            site.register(engine, 'engines')
        job['minVersion'] = 2
        await site.submit(node, job, 'job-2')
        results = await site.results(node, 'job-2', 2)
    assert [result['versions'] for result in results] == [[2], [2]]
    assert {result['text'] for result in results} == {TEXT}


async def test_refusal_is_logged_with_the_request_id(
    site: Site,
) -> None:
    """Guards against failures that can't be found in the logs."""
    async with site.node('node-1') as node:
        with structlog.testing.capture_logs() as lines:
            await site.send(node, '/safe/a', key='wrong', request_id='r-9')
            site.plain.faults.append(SamplerFault.RESET)
            await site.send(node, '/unsafe/a', request_id='r-10')
    lines_by_request_id = {
        line['request_id']: line
        for line in lines
        if line['event'] in {'request_refused', 'request_not_served'}
    }
    assert lines_by_request_id['r-9']['code'] == 'unknown_key'
    assert lines_by_request_id['r-9']['not_run']
    assert lines_by_request_id['r-10']['code'] == 'outcome_unknown'
    assert not lines_by_request_id['r-10']['not_run']


async def test_job_is_started_once_if_its_acceptance_is_slow(
    site: Site,
) -> None:
    """Guards against items that are listed at two positions.

    The store's feed reported a new job before the response to the write that
    accepted it arrived, and the process ran the job twice (Swanbourne, mix,
    seeds 92607123262 and 263860287472).
    """
    for engine in site.engines:
        engine.event_gap_s = 0.1
    job = site.job(item_count=6)
    async with site.node('node-1') as node:
        site.store.fault_table = 'job_heads'
        site.store.faults.append(RowFault.ANSWER_SLOW)
        assert await site.submit(node, job, 'job-1') == 202
        results = await site.results(node, 'job-1', 6)
        await asyncio.sleep(1.0)
        status, _, body = await site.send(
            node, '/api/lots/job-1?after=0', method='GET'
        )
    assert status == 200
    listed = [item['id'] for item in msgspec.json.decode(body)['results']]
    assert listed == [item['id'] for item in results]
    assert len(set(listed)) == len(listed) == 6
    assert sum(len(engine.requests) for engine in site.engines) == 6
