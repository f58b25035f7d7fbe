"""The whole path on the platform, against stand-ins of its services."""

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
from tests.platform.platform_site import KEY
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from tests.platform.platform_site import Site

TEXT = '\n'.join(f'piece {number}' for number in range(EVENT_COUNT))


async def test_request_reaches_its_endpoint_for_its_account(
    site: Site,
) -> None:
    """Guards against keys at endpoints and accounts that clients choose."""
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
    seen = site.plain.seen[0]
    assert seen.path == '/safe/a?x=1%2F2'
    assert seen.headers['X-Tenant'] == ACCOUNT
    assert seen.headers['X-Custom'] == 'kept'
    assert seen.headers['X-Expect-Instance'] == 'plain-0'
    assert 0 < int(seen.headers['X-Deadline-Ms']) <= 3000
    assert KEY not in str(seen.headers)


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
    """Guards against requests without a route or a key that reach work."""
    async with site.node('node-1') as node:
        answer = await site.send(node, path, key=key)
    assert answer[0] == status
    assert len(site.plain.seen) == (status == 200)


@pytest.mark.parametrize(
    ('fault', 'safe', 'unsafe', 'unsafe_runs'),
    [
        (SamplerFault.FULL, 200, 200, 1),
        (SamplerFault.RESET, 200, 502, 1),
        (SamplerFault.FAIL, 200, 500, 1),
        (SamplerFault.OTHER_RESPONSE, 200, 502, 1),
    ],
)
async def test_faults_of_an_endpoint(
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


async def test_late_address_of_another_endpoint_is_refused(
    site: Site,
) -> None:
    """Guards against work for one service at an endpoint of another."""
    site.plain.endpoint_id = 'successor'
    async with site.node('node-1') as node:
        status, _, _ = await site.send(node, '/unsafe/a')
    assert status == 503
    assert site.plain.seen == []


async def test_removed_key_and_route_stop(site: Site) -> None:
    """Guards against configurations that are applied late or not at all."""
    async with site.node('node-1') as node:
        assert (await site.send(node, '/safe/a'))[0] == 200
        changed = site.configuration(version=5)
        changed['tenants'] = [{'name': ACCOUNT, 'apiKeys': ['another']}]
        site.configure(changed)
        await asyncio.sleep(0.6)
        assert (await site.send(node, '/safe/a'))[0] == 401
        # An older version never comes back into force.
        site.configure(site.configuration(version=4))
        await asyncio.sleep(0.6)
        assert (await site.send(node, '/safe/a'))[0] == 401


async def test_batch_job_is_run_scored_and_listed(site: Site) -> None:
    """Guards against lost, repeated or unscored results."""
    job = site.job(item_count=5)
    async with site.node('node-1') as one, site.node('node-2') as two:
        assert await site.submit(one, job, 'job-1') == 202
        assert await site.submit(two, job, 'job-1') == 202
        results = await site.results(two, 'job-1', 5)
        again = await site.results(one, 'job-1', 5)
    assert results == again
    assert sorted(one['id'] for one in results) == sorted(
        one['id'] for one in job['requests']
    )
    scorers = {one['id']: one['scorer']['id'] for one in job['requests']}
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
async def test_item_survives_faults_of_its_engine(
    site: Site, fault: SamplerFault, state: str
) -> None:
    """Guards against texts with a gap, a repeat or a false end."""
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
async def test_resumable_stream_goes_on_in_one_response(
    site: Site, fault: SamplerFault
) -> None:
    """Guards against streams that end with their first engine."""
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
    runs = sum(len(engine.seen) for engine in site.engines)
    assert runs == 2


async def test_client_that_resumes_gets_the_rest(site: Site) -> None:
    """Guards against a client's own position that is lost on a retry."""
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


async def test_stream_that_may_run_once_ends_broken(site: Site) -> None:
    """Guards against second runs, and ends that look complete."""
    site.engines[0].faults.append(SamplerFault.CUT_STREAM)
    site.engines[1].faults = site.engines[0].faults
    async with site.node('node-1') as node:
        with pytest.raises(aiohttp.ClientError):
            await site.send(node, '/stream/a', headers={'X-Model': MODEL})
    assert sum(len(engine.seen) for engine in site.engines) == 1


async def test_late_second_response_is_no_score(site: Site) -> None:
    """Guards against scores from a response to an earlier try.

    Seen on trouble-3 of the grown site of Pizarra: tries of a scorer share
    their id, so a second response to the try that failed was taken for the
    response to the next one on the same connection.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)
        is_first = len(connections) == 1
        for number in itertools.count():
            head = await reader.readuntil(b'\r\n\r\n')
            fields = dict(
                line.lower().split(': ', 1)
                for line in head.decode().split('\r\n')[1:-2]
            )
            await reader.readexactly(int(fields.get('content-length', 0)))
            failed = is_first and number == 0
            status = '500 Failed' if failed else '200 OK'
            signature = 'late' if is_first else 'right'
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
    """Guards against refusals by limits that nobody has set.

    Requests without a client account shared the default limits of one, so
    the 257th that waited at a process was refused.
    """
    site.plain.work_s = 0.5
    async with site.node('node-1') as node:
        answers = await asyncio.gather(
            *(site.send(node, '/score/a', key=None) for _ in range(330))
        )
    statuses = {status for status, _, _ in answers}
    assert 200 in statuses
    assert 429 not in statuses


async def test_a_text_that_takes_long_to_score_is_listed(site: Site) -> None:
    """Guards against steps that wait for a single score until they end.

    Seen on trouble-2 of the grown site of Swanbourne: scoring one text took
    longer than the limit of each try, so it was cut off again and again.
    """
    site.plain.work_s = 1.4
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(item_count=2), 'job-1') == 202
        results = await site.results(node, 'job-1', 2)
    assert {result['state'] for result in results} == {'completed'}


async def test_bodies_and_end_of_a_job(site: Site) -> None:
    """Guards against work that goes on after a job's end."""
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


async def test_other_accounts_see_no_job(site: Site) -> None:
    """Guards against results for another client account."""
    changed = site.configuration(version=3)
    changed['tenants'].append({'name': 'others', 'apiKeys': ['other-key']})
    site.configure(changed)
    async with site.node('node-1') as node:
        await site.submit(node, site.job(item_count=1), 'job-1')
        answer = await site.send(
            node, '/api/lots/job-1?after=0', method='GET', key='other-key'
        )
    assert answer[0] == 404


async def test_named_version_is_ordered_once(site: Site) -> None:
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
    async with site.node('node-1') as one, site.node('node-2') as two:
        for node in (one, two, one):
            assert (await site.send(node, '/safe/a'))[0] == 200
        await asyncio.sleep(8.0)
    windows = [call.window for call in site.duties.calls]
    assert len(windows) == len(set(windows))
    total = sum(call.counts.get(ACCOUNT, 0) for call in site.duties.calls)
    assert total == 3


async def test_scaled_services_are_ordered_by_one_holder(
    site: Site,
) -> None:
    """Guards against services that stay at the size that they had."""
    changed = site.configuration(version=3)
    changed['services'][1]['scale'] = {'min': 3, 'max': 4, 'bootS': 2.0}
    changed['services'][0]['scale'] = {'min': 'unreadable'}
    site.configure(changed)
    async with site.node('node-1') as node, site.node('node-2'):
        assert (await site.send(node, '/safe/a'))[0] == 200
        await asyncio.sleep(5.0)
    orders = site.duties.scale_calls
    assert {(one.service, one.zone, one.desired) for one in orders} == {
        ('engines', 'zone-a', 3)
    }
    assert len({(one.holder, one.fencing_token) for one in orders}) == 1


async def test_groups_that_come_again_go_on_from_their_text(
    site: Site,
) -> None:
    """Guards against trainers that wait twice for the same long items."""
    for engine in site.engines:
        engine.faults.extend([None, SamplerFault.SILENT] * 2)
    job = site.job(item_count=4)
    async with site.node('node-1') as one, site.node('node-2') as two:
        await site.submit(one, job, 'job-1')
        await site.results(one, 'job-1', 2)
        await asyncio.sleep(0.2)
        await site.send(two, '/api/lots/job-1', method='DELETE')
        await asyncio.sleep(0.5)
        for engine in site.engines:
            engine.faults.clear()
            engine.seen.clear()
        await site.submit(two, job, 'job-2')
        results = await site.results(two, 'job-2', 4)
    assert {result['text'] for result in results} == {TEXT}
    runs = [request for engine in site.engines for request in engine.seen]
    after = [
        value
        for run in runs
        for name, value in run.headers.items()
        if name.lower() == 'last-event-id'
    ]
    assert after == [str(EVENT_COUNT // 2)] * 2


async def test_old_text_is_not_used_where_it_is_too_old(site: Site) -> None:
    """Guards against samples older than the trainer's bound."""
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


async def test_a_refusal_is_logged_with_the_requests_id(
    site: Site,
) -> None:
    """Guards against complaints that the logs can't explain."""
    async with site.node('node-1') as node:
        with structlog.testing.capture_logs() as lines:
            await site.send(node, '/safe/a', key='wrong', request_id='r-9')
            site.plain.faults.append(SamplerFault.RESET)
            await site.send(node, '/unsafe/a', request_id='r-10')
    found = {
        line['request_id']: line
        for line in lines
        if line['event'] in {'request_refused', 'request_not_served'}
    }
    assert found['r-9']['code'] == 'unknown_key'
    assert found['r-9']['not_run']
    assert found['r-10']['code'] == 'outcome_unknown'
    assert not found['r-10']['not_run']


async def test_a_slow_acceptance_starts_the_job_once(site: Site) -> None:
    """Guards against items at two positions.

    Seen on hunted days of Swanbourne (mix, seeds 92607123262 and
    263860287472): the feed told of a job before the answer to its acceptance
    came, and the process ran the job twice.
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
    listed = [one['id'] for one in msgspec.json.decode(body)['results']]
    assert listed == [one['id'] for one in results]
    assert len(set(listed)) == len(listed) == 6
    assert sum(len(engine.seen) for engine in site.engines) == 6
