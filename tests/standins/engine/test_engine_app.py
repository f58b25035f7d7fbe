"""Tests of the engine stand-in over HTTP."""

from __future__ import annotations

import asyncio
import base64
from contextlib import nullcontext
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.core.routing import BLOCK_BYTES
from dogwoodpost.errors import EndpointError
from dogwoodpost.standins.engine import completion_text
from dogwoodpost.standins.engine import create_app
from dogwoodpost.standins.engine import EngineSettings
from tests.fakes.endpoint_caller import serve

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.fakes.endpoint_caller import Caller

FAST = EngineSettings(token_rate_per_s=50_000.0)
# One token every few milliseconds, so that a request for many tokens is still
# running when the test acts on it.
SLOW = EngineSettings(token_rate_per_s=200.0)
SWAP = (EndpointAction.LOAD_WEIGHTS, EndpointAction.SWITCH_WEIGHTS)
BLOCKS_PROMPT = 'word ' * BLOCK_BYTES


def events(body: bytes) -> list[Any]:
    """Return the documents of a stream, and the end marker as a string."""
    lines = [line for line in body.split(b'\n') if line.startswith(b'data: ')]
    return [
        '[DONE]' if line == b'data: [DONE]' else msgspec.json.decode(line[6:])
        for line in lines
    ]


def text_of(document: dict[str, Any], chat_field: str) -> str:
    choice = document['choices'][0]
    text: str = choice.get('text') or choice[chat_field]['content']
    return text


@pytest.mark.parametrize(
    ('path', 'prompt', 'text'),
    [
        (
            '/v1/completions',
            {'prompt': 'a prompt'},
            completion_text('a prompt', 9),
        ),
        (
            '/v1/chat/completions',
            {'messages': [{'role': 'user', 'content': 'a prompt'}]},
            completion_text('user a prompt', 9),
        ),
    ],
)
async def test_stream_and_document_have_the_same_content(
    path: str, prompt: dict[str, Any], text: str
) -> None:
    """Guards against streams that lose tokens, usage or segments."""
    body = {'model': 'slate-lm', 'max_tokens': 9, **prompt}
    async with serve(create_app(FAST)) as caller:
        _, document = await caller.direct('POST', path, json=body)
        data = msgspec.json.encode({**body, 'stream': True})
        _, _, stream = await caller.call(path, data)
    *parts, last, done = events(stream)
    assert done == '[DONE]'
    for name in ('usage', 'weight_segments'):
        assert last[name] == document[name]
    assert ''.join(text_of(part, 'delta') for part in parts) == text
    assert text_of(document, 'message') == text
    assert last['choices'][0]['finish_reason'] == 'length'
    assert document['usage']['completion_tokens'] == 9


async def swap(caller: Caller, version: int, number: int = 1) -> None:
    for action in SWAP:
        await caller.client.command(action, str(version), number)


async def test_weight_switch_during_a_request_splits_its_segments() -> None:
    """Guards against a switch that stops requests or mislabels tokens."""
    async with serve(create_app(SLOW)) as caller:
        task = asyncio.create_task(caller.complete(prompt='a', max_tokens=80))
        await caller.wait_for('load', lambda it: it['running_tokens'] >= 10)
        await swap(caller, 2)
        document = await task
    segments = document['weight_segments']
    assert [item['weight_version'] for item in segments] == [1, 2]
    assert sum(item['token_count'] for item in segments) == 80
    assert document['choices'][0]['text'] == completion_text('a', 80)


@pytest.mark.parametrize('stream', [False, True])
async def test_cancelled_request_ends_with_an_error(stream: bool) -> None:
    """Guards against a partial text that looks like a complete response."""
    async with serve(create_app(SLOW)) as caller:
        body = {'prompt': 'a', 'max_tokens': 10_000, 'stream': stream}
        task = asyncio.create_task(
            caller.call('/v1/completions', msgspec.json.encode(body))
        )
        await caller.wait_for_running(1)
        await caller.client.cancel('unknown')
        await caller.client.cancel('r1')
        status, _, data = await task
        counters = await caller.counters()
        await caller.wait_for_running(0)
    document = events(data)[-1] if stream else msgspec.json.decode(data)
    assert document['error']['code'] == 'cancelled'
    assert status == (200 if stream else 499)
    assert counters['cancelled_count'] == 1
    assert counters['executions'] == {'r1': 1}


async def test_disconnect_of_the_caller_cancels_its_request() -> None:
    """Guards against engines that keep generating after a disconnect."""
    async with serve(create_app(SLOW)) as caller:
        task = asyncio.create_task(
            caller.complete(prompt='a', max_tokens=10_000)
        )
        await caller.wait_for_running(1)
        task.cancel()
        await caller.wait_for_running(0)
        assert (await caller.counters())['cancelled_count'] == 1


@pytest.mark.parametrize(
    ('check_fencing', 'numbers', 'accepted'),
    [
        (True, (3, 3, 4), (True, True, True)),
        (True, (3, 2), (True, False)),
        (False, (3, 2), (True, True)),
    ],
)
async def test_orders_with_old_fencing_numbers_are_refused(
    check_fencing: bool, numbers: Sequence[int], accepted: Sequence[bool]
) -> None:
    """Guards against orders from a holder that has lost its lease.

    A crash must not reset the fencing number.
    """
    settings = EngineSettings(check_fencing=check_fencing)
    results = []
    async with serve(create_app(settings)) as caller:
        for number in numbers:
            try:
                await caller.client.command(
                    EndpointAction.LOAD_ADAPTER, 'a', number
                )
                results.append(True)
            except EndpointError:
                results.append(False)
            await caller.set_faults(crashed=True)
            await caller.set_faults()
    assert tuple(results) == accepted


@pytest.mark.parametrize(
    ('faults', 'actions', 'serving'),
    [({}, SWAP, 2), ({'refuse_swap_count': 1}, SWAP, 1), ({}, SWAP[1:], 1)],
    ids=['swap', 'refused load', 'not loaded'],
)
async def test_failed_swap_keeps_the_old_version(
    faults: dict[str, int], actions: Sequence[EndpointAction], serving: int
) -> None:
    """Guards against an engine that serves weights it has not loaded."""
    async with serve(create_app(FAST)) as caller:
        await caller.set_faults(**faults)
        with nullcontext() if serving == 2 else pytest.raises(EndpointError):
            for action in actions:
                await caller.client.command(action, '2', 1)
        document = await caller.complete(prompt='a', max_tokens=1)
    assert document['weight_version'] == serving


async def test_crash_aborts_a_weight_load() -> None:
    """Guards against a load that a crash undid but that reports success."""
    async with serve(create_app(EngineSettings(load_s=0.3))) as caller:
        task = asyncio.create_task(swap(caller, 2))
        await caller.wait_for('counters', lambda it: it['order_count'] == 1)
        await caller.set_faults(crashed=True)
        await caller.set_faults()
        with pytest.raises(EndpointError, match='no answer|weights/load'):
            await task
        _, load = await caller.direct('GET', '/control/load')
    assert load['loaded_versions'] == []


@pytest.mark.parametrize(
    ('body', 'status', 'code'),
    [
        ({'max_tokens': 1}, 400, 'malformed_request'),
        ({'prompt': 'a', 'max_tokens': 0}, 400, 'malformed_request'),
        ({'prompt': 'a', 'n': 2}, 400, 'malformed_request'),
        ({'prompt': 'a', 'model': 'other'}, 404, 'model_not_found'),
        (
            {'prompt': 'a', 'min_weight_version': 2},
            503,
            'weight_version_too_old',
        ),
    ],
)
async def test_refused_requests_do_not_run(
    body: dict[str, Any], status: int, code: str
) -> None:
    """Guards against execution counts that include refusals."""
    async with serve(create_app(FAST)) as caller:
        document = await caller.complete(**body)
        assert (await caller.counters())['started_count'] == 0
    assert (document['status'], document['error']['code']) == (status, code)


async def test_orders_load_models_and_adapters_and_change_the_role() -> None:
    """Guards against orders that are accepted without an effect."""
    async with serve(create_app(FAST)) as caller:
        command = caller.client.command
        await command(EndpointAction.LOAD_MODEL, 'other', 1)
        await command(EndpointAction.LOAD_ADAPTER, 'tuned', 1)
        for model in ('other', 'tuned', 'slate-lm', ''):
            document = await caller.complete(
                prompt='a', model=model, max_tokens=1
            )
            assert document['status'] == 200
        await command(EndpointAction.SET_ROLE, 'prefill', 1)
        document = await caller.complete(prompt='a', max_tokens=5)
        assert document['choices'][0]['finish_reason'] == 'prefilled'
        with pytest.raises(EndpointError, match='^/control/role: status 400$'):
            await command(EndpointAction.SET_ROLE, 'cook', 1)
        status, document = await caller.direct(
            'POST',
            '/control/role',
            json={'role': 'cook', 'fencing_number': 1, 'fetch_from': []},
        )
        assert status == 400
        assert 'unknown_role' in str(document)


async def test_imported_kv_cache_replaces_the_prefill() -> None:
    """Guards against a handover after which the prompt is computed again.

    Blocks of another weight version must be refused.
    """
    async with (
        serve(create_app(FAST)) as source,
        serve(create_app(FAST)) as target,
    ):
        await source.complete(
            prompt=BLOCKS_PROMPT, max_tokens=2, request_id='moved'
        )
        path = '/control/kv/moved'
        _, export = await source.direct('GET', path)
        assert (await target.direct('PUT', path, json=export))[0] == 200
        document = await target.complete(prompt=BLOCKS_PROMPT, max_tokens=2)
        cached = document['usage']['prompt_tokens_details']['cached_tokens']
        assert cached == BLOCK_BYTES - 1
        await swap(target, 2)
        assert (await target.direct('PUT', path, json=export))[0] == 409
        assert (await source.direct('GET', '/control/kv/none'))[0] == 404


@pytest.mark.parametrize(
    ('headers', 'prompt', 'secret_count'),
    [
        ((('Authorization', 'Bearer other'),), 'a', 1),
        ((('Cookie', 'a=b'),), 'a', 1),
        ((('X-Extra', 'k 3y/1'),), 'a', 1),
        ((('X-Extra', 'k%203y%2F1'),), 'a', 1),
        ((('X-Extra', base64.b64encode(b'k 3y/1').decode()),), 'a', 1),
        ((), 'the key k 3y/1', 1),
        ((('X-Extra', 'none'),), 'a', 0),
    ],
)
async def test_requests_with_keys_are_counted(
    headers: tuple[tuple[str, str], ...], prompt: str, secret_count: int
) -> None:
    """Guards against a key detector that misses keys.

    Other tests use its counter to check that no key is forwarded."""
    settings = EngineSettings(known_secrets=('k 3y/1',))
    async with serve(create_app(settings)) as caller:
        # Bypasses the client, which would remove the keys.
        await caller.direct(
            'POST', '/v1/completions', json={'prompt': prompt}, headers=headers
        )
        assert (await caller.counters())['secret_count'] == secret_count


async def test_partial_response_arrives_before_the_time_limit() -> None:
    """Guards against losing the text of a sample whose time slice ends."""
    async with serve(create_app(SLOW)) as caller:
        document = await caller.complete(
            prompt='a',
            max_tokens=10_000,
            partial_on_timeout=True,
            timeout_s=2.5,
        )
    choice = document['choices'][0]
    token_count = document['usage']['completion_tokens']
    assert choice['finish_reason'] is None
    assert choice['text'] == completion_text('a', token_count)
