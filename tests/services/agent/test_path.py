"""Requests from an entry through an agent to endpoints."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.standins.engine import completion_text
from dogwoodpost.standins.engine import EngineFaults
from tests.fakes.site import eventually
from tests.fakes.site import make_spec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from tests.fakes.site import Site

ENGINE = 'engine-1'
PLAIN = 'plain-1'


def body(prompt: str, **changes: object) -> bytes:
    document = {'model': 'slate-lm', 'prompt': prompt, **changes}
    return msgspec.json.encode(document)


def content(events: Iterable[AttemptEvent]) -> bytes:
    return b''.join(e.data for e in events if isinstance(e, AttemptData))


def streamed_text(events: Iterable[AttemptEvent]) -> str:
    lines = content(events).splitlines()
    documents = [line[6:] for line in lines if line.startswith(b'data: {')]
    return ''.join(
        msgspec.json.decode(document)['choices'][0]['text']
        for document in documents
    )


async def test_concurrent_responses_are_complete(site: Site) -> None:
    """Guards against lost or mixed-up concurrent responses."""
    specs = [
        make_spec(
            f't{n}', body=body(f'p{n}', stream=n % 2 == 0, max_tokens=16)
        )
        for n in range(4)
    ]
    results = await asyncio.gather(*(site.entry.run(ENGINE, s) for s in specs))
    for number, (head, *events, end) in enumerate(results):
        assert head.status == 200
        if number % 2 == 0:
            text = streamed_text(events)
        else:
            document = msgspec.json.decode(content(events))
            text = document['choices'][0]['text']
        assert text == completion_text(f'p{number}', 16)
        assert end.outcome is AttemptOutcome.COMPLETED
        assert end.completion_tokens == 16
        assert end.weight_versions == (1,)


FAULTS = [
    ({'crashed': True}, AttemptOutcome.ENDPOINT_FAILED),
    (
        {'break_stream_count': 1, 'break_after_tokens': 20},
        AttemptOutcome.ENDPOINT_FAILED,
    ),
    ({'hang': True}, AttemptOutcome.DEADLINE_PASSED),
    ({'slow_factor': 1e6}, AttemptOutcome.DEADLINE_PASSED),
]


@pytest.mark.parametrize(('faults', 'outcome'), FAULTS)
async def test_endpoint_fault_is_reported(
    site: Site, faults: dict[str, object], outcome: AttemptOutcome
) -> None:
    """Guards against a truncated response that ends as COMPLETED."""
    site.engine.set_faults(EngineFaults(**faults))
    spec = make_spec(
        't1', body=body('p', stream=True, max_tokens=500), timeout_s=0.6
    )
    *events, end = await site.entry.run(ENGINE, spec)
    assert end.outcome is outcome
    assert completion_text('p', 500).startswith(streamed_text(events))
    site.engine.set_faults(EngineFaults())
    await eventually(lambda: site.engine.batch.running_count == 0)


async def test_lost_parts_are_fetched(site: Site) -> None:
    """Guards against an incomplete response after lost messages.

    Each part of the response is lost once on the way to the entry.
    """
    lost_parts: set[object] = set()

    def lose_first(message: messages.AnyMessage) -> bool:
        key = (type(message), getattr(message, 'index', None))
        first = key not in lost_parts
        lost_parts.add(key)
        part = messages.ResponseHead | messages.ResponseChunk
        return first and isinstance(message, part | messages.ResponseEnd)

    site.entry.transport.drops_message = lose_first
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=100))
    *events, end = await site.entry.run(ENGINE, spec)
    assert end.outcome is AttemptOutcome.COMPLETED
    assert streamed_text(events) == completion_text('p', 100)
    assert site.engine.counters.executions == {'t1': 1}


async def test_disconnected_caller_frees_the_engine(site: Site) -> None:
    """Guards against generating for a caller that has disconnected."""
    endpoint = site.entry.listener.endpoints[ENGINE]
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=100_000))
    async with contextlib.aclosing(
        site.entry.runner.run(endpoint, spec)
    ) as events:
        await anext(events)
        await eventually(lambda: site.engine.batch.running_count == 1)
    await eventually(lambda: site.engine.batch.running_count == 0)


async def test_broken_plain_call_runs_once(site: Site) -> None:
    """Guards against repeating a booking whose response was lost."""
    for number, method in enumerate(('GET', 'POST', 'PUT')):
        spec = make_spec(f't{number}', method=method, path='/drop?a=1')
        (end,) = await site.entry.run(PLAIN, spec)
        assert end.outcome is AttemptOutcome.ENDPOINT_FAILED
    assert site.plain_executions == {'t0': 1, 't1': 1, 't2': 1}


async def test_no_endpoint_sees_a_key(site: Site) -> None:
    """Guards against a key that passes the agent."""
    headers = (('Authorization', 'Bearer secret'), ('X-Request-Id', 'own'))
    for endpoint_id in (ENGINE, PLAIN):
        spec = make_spec(f't-{endpoint_id}', headers=headers)
        head, *_ = await site.entry.run(endpoint_id, spec)
        assert head.status == 200
    assert site.engine.counters.secret_count == 0
    assert site.plain_secret_count == 0
    assert site.plain_executions == {'own': 1}


async def test_overload_is_refused_early(site: Site) -> None:
    """Guards against unbounded concurrency at an agent."""
    site.engine.set_faults(EngineFaults(hang=True))
    tasks = [
        asyncio.create_task(
            site.entry.run(ENGINE, make_spec(f't{n}', timeout_s=1.0))
        )
        for n in range(6)
    ]
    results = await asyncio.gather(*tasks, return_exceptions=True)
    refused = [r for r in results if isinstance(r, AttemptNotRunError)]
    assert len(refused) == 2
    assert refused[0].reason is RefusalReason.OVERLOADED
    assert refused[0].retry_after_s > 0


async def test_restarted_agent_leaves_the_outcome_unknown(site: Site) -> None:
    """Guards against a false "not run" after a restart of the agent.

    The earlier run of the agent may have executed the request.
    """
    endpoint = site.entry.listener.endpoints[PLAIN]
    spec = make_spec('t1', path='/slow/5000')
    running = asyncio.create_task(site.entry.run(PLAIN, spec))
    await eventually(lambda: site.plain_executions['t1'] == 1)
    listen = {'port': int(endpoint.agent_address.rpartition(':')[2])}
    await site.kill_agent()
    site.agent = site.build_agent(peer_listen=listen)
    await site.agent.start()
    with pytest.raises(AttemptOutcomeUnknownError):
        await running
    with pytest.raises(AttemptNotRunError) as caught:
        stale = site.entry.runner.run(endpoint, make_spec('t2'))
        await anext(stale)
    assert caught.value.reason is RefusalReason.WRONG_INCARNATION
    head, *_ = await site.entry.run(PLAIN, make_spec('t3'))
    assert head.status == 200
    assert site.plain_executions == {'t1': 1, 't3': 1}


async def test_stop_waits_for_running_attempts(site: Site) -> None:
    """Guards against a graceful stop that cuts off a response."""
    endpoint = site.entry.listener.endpoints[ENGINE]
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=1_000))
    running = asyncio.create_task(site.entry.run(ENGINE, spec))
    await eventually(lambda: site.engine.batch.running_count == 1)
    stopping = asyncio.create_task(site.agent.stop())
    listener = site.entry.listener
    await eventually(lambda: listener.endpoints[ENGINE].draining)
    assert not running.done()
    with pytest.raises(AttemptNotRunError) as caught:
        await anext(site.entry.runner.run(endpoint, make_spec('t2')))
    assert caught.value.reason is RefusalReason.DRAINING
    *events, end = await running
    assert end.outcome is AttemptOutcome.COMPLETED
    assert streamed_text(events) == completion_text('p', 1_000)
    await stopping


async def test_drain_timeout_cancels_attempts(site: Site) -> None:
    """Guards against an attempt without an end after the drain timeout."""
    site.set_drain_timeout(0.1)
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=10**6))
    running = asyncio.create_task(site.entry.run(ENGINE, spec))
    await eventually(lambda: site.engine.batch.running_count == 1)
    await site.agent.stop()
    assert (await running)[-1].outcome is AttemptOutcome.CANCELLED


async def test_unknown_agent_is_not_run(site: Site) -> None:
    """Guards against waiting for an agent that does not exist."""
    endpoint = msgspec.structs.replace(
        site.entry.listener.endpoints[ENGINE],
        agent_id=ids.ProcessId('nobody'),
    )
    with pytest.raises(AttemptNotRunError):
        await anext(site.entry.runner.run(endpoint, make_spec('t1')))
    assert site.engine.counters.executions == {}
