"""Responses of the entry's HTTP interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError

if TYPE_CHECKING:
    from aiohttp.test_utils import TestClient

    from tests.fakes.pipeline import FakeRunner
    from tests.fakes.pipeline import FakeUsage

LAB = {'Authorization': 'Bearer lab-secret-key'}
COMPLETION = {'model': 'slate-lm', 'prompt': 'p', 'max_tokens': 9}
SSE_HEAD = AttemptHead(200, (('Content-Type', 'text/event-stream'),))


async def test_json_response(
    client: TestClient,
    runner: FakeRunner,
    usage: FakeUsage,
    completed: AttemptEnd,
) -> None:
    """Guards against lost fields, a wrong priority and missing usage."""
    body = {**COMPLETION, 'priority': 99}
    response = await client.post('/v1/completions', json=body, headers=LAB)
    assert response.status == 200, await response.text()
    assert await response.json() == {}
    assert response.headers['Dogwoodpost-Request-Id']
    assert 'Connection' not in response.headers
    sent = msgspec.json.decode(runner.specs[0].body)
    assert sent == {**COMPLETION, 'priority': 3}
    assert runner.specs[0].priority == 3
    assert usage.records == [('lab', 1, 10, 5)]


async def test_stream_is_passed_through(
    client: TestClient, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against changed or reordered events."""
    events = [AttemptData(b'data: 1\n\n'), AttemptData(b'data: [DONE]\n\n')]
    runner.default = [SSE_HEAD, *events, completed]
    body = {**COMPLETION, 'stream': True}
    response = await client.post('/v1/completions', json=body, headers=LAB)
    assert await response.read() == b'data: 1\n\ndata: [DONE]\n\n'


async def test_broken_stream_ends_in_an_error_event(
    client: TestClient, runner: FakeRunner
) -> None:
    """Guards against a broken stream that looks complete."""
    broken = AttemptOutcomeUnknownError('agent lost')
    runner.default = [SSE_HEAD, AttemptData(b'data: 1\n\n'), broken]
    body = {**COMPLETION, 'stream': True}
    response = await client.post('/v1/completions', json=body, headers=LAB)
    text = await response.text()
    assert text.startswith('data: 1\n\n')
    assert 'event: error\ndata: {"error":{"code":"outcome_unknown"' in text
    assert '[DONE]' not in text
    assert len(runner.specs) == 1
