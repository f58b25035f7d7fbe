"""Samples that run through the request pipeline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.sample_dispatcher import SampleRequest
from dogwoodpost.ports.sample_dispatcher import TokenSegment
from dogwoodpost.services.entry.sample_dispatcher import (
    PipelineSampleDispatcher,  # noqa: H301
)

if TYPE_CHECKING:
    from conftest import FakeConfiguration

    from dogwoodpost.ports.attempt_runner import AttemptEnd
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from tests.fakes.pipeline import FakeRunner

SEGMENTS = [{'weight_version': 1, 'token_count': 5}]


@pytest.fixture
def dispatcher(
    pipeline: RequestPipeline, configuration: FakeConfiguration
) -> PipelineSampleDispatcher:
    return PipelineSampleDispatcher(pipeline, configuration)


def sample(**fields: object) -> SampleRequest:
    values: dict[str, object] = {
        'sample_id': 's',
        'trainer_id': 't',
        'client_account_id': 'lab',
        'service': 'slate',
        'prompt': 'once ',
        'max_tokens': 8,
        'timeout_s': 5.0,
    }
    return SampleRequest(**{**values, **fields})


def response(**fields: object) -> AttemptData:
    document = {
        'choices': [{'text': 'upon', 'finish_reason': 'stop'}],
        'usage': {'completion_tokens': 5},
        'weight_segments': SEGMENTS,
    }
    return AttemptData(msgspec.json.encode({**document, **fields}))


@pytest.mark.parametrize(
    ('segments', 'expected'),
    [
        (SEGMENTS, (TokenSegment(weight_version=1, token_count=5),)),
        (None, ()),
        ([{'weight_version': 1, 'token_count': 4}], ()),
        ([{'weight_version': 1}], ()),
        ([*SEGMENTS, {'weight_version': 2, 'token_count': 0}], ()),
    ],
)
async def test_segments_are_returned_only_if_reliable(
    dispatcher: PipelineSampleDispatcher,
    runner: FakeRunner,
    completed: AttemptEnd,
    segments: object,
    expected: object,
) -> None:
    """Guards against samples with an unconfirmed weight version."""
    data = response(weight_segments=segments)
    runner.default = [AttemptHead(200, ()), data, completed]
    result = await dispatcher.generate(
        sample(min_weight_version=1, avoid=('slate-1',), resume_text='more')
    )
    assert result.segments == expected
    assert (result.completion, result.finished) == ('upon', True)
    assert result.endpoint_id == 'slate-2'
    sent = msgspec.json.decode(runner.specs[0].body)
    assert sent['prompt'] == 'once more'
    assert sent['min_weight_version'] == 1


@pytest.mark.parametrize(
    ('fields', 'script', 'code'),
    [
        ({'service': 'quarry'}, [], 'unknown_service'),
        ({'client_account_id': 'off'}, [], 'client_account_disabled'),
        ({}, [AttemptHead(400, ()), AttemptData(b'')], 'endpoint_failed'),
        ({}, [AttemptHead(200, ()), AttemptData(b'x')], 'endpoint_failed'),
        ({}, [AttemptHead(200, ()), AttemptData(b'[]')], 'endpoint_failed'),
    ],
)
async def test_failed_samples_raise_request_errors(
    dispatcher: PipelineSampleDispatcher,
    runner: FakeRunner,
    completed: AttemptEnd,
    fields: dict[str, object],
    script: list[object],
    code: str,
) -> None:
    """Guards against exceptions that the port does not declare."""
    runner.default = [*script, completed]
    with pytest.raises(RequestError) as caught:
        await dispatcher.generate(sample(**fields))
    assert caught.value.code == code


async def test_cancel_and_duplicates(
    dispatcher: PipelineSampleDispatcher, runner: FakeRunner
) -> None:
    """Guards against cancelled samples that keep running at the engine."""
    runner.default = [asyncio.Event()]
    task = asyncio.create_task(dispatcher.generate(sample()))
    await asyncio.sleep(0.02)
    with pytest.raises(RequestError, match='is running'):
        await dispatcher.generate(sample())
    await dispatcher.cancel('unknown')
    await dispatcher.cancel('s')
    with pytest.raises(RequestError, match='cancelled'):
        await task
    assert runner.cancelled_count == 1
