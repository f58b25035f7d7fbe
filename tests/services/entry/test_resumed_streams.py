"""Streams that go on at another endpoint within one response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.services.entry.pipeline_request import PipelineRequest

if TYPE_CHECKING:
    from dogwoodpost.ports.attempt_runner import AttemptEnd
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from tests.fakes.pipeline import FakeRunner

HEAD = AttemptHead(200, (('Content-Type', 'text/event-stream'),))
FULL = AttemptNotRunError(RefusalReason.OVERLOADED, 'full')
BROKEN = AttemptOutcomeUnknownError('body broke off')


def piece(number: int) -> AttemptData:
    return AttemptData(
        f'id: {number}\n\n'.encode(), ends_event=True, last_event_id=number
    )


def stream(*, resumable: bool = True, **fields: object) -> PipelineRequest:
    values: dict[str, object] = {
        'request_id': 'r',
        'route': Route(
            name='s', service='slate', path_prefix='/', resumable=resumable
        ),
        'service': Service(name='slate', kind=ServiceKind.ENGINE),
        'client_account_id': 'lab',
        'method': 'POST',
        'path': '/',
        'timeout_s': 5.0,
        'idempotent': resumable,
        'max_attempt_count': 4,
        'free_not_run_count': 4,
    }
    return PipelineRequest(**{**values, **fields})


async def run(
    pipeline: RequestPipeline, request: PipelineRequest
) -> tuple[list[AttemptHead], list[bytes], RequestError | None]:
    heads, data = [], []
    try:
        async for event in pipeline.execute(request):
            if isinstance(event, AttemptHead):
                heads.append(event)
            elif isinstance(event, AttemptData):
                data.append(event.data)
    except RequestError as error:
        return heads, data, error
    return heads, data, None


async def test_a_broken_stream_goes_on_within_its_response(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against streams that end with the endpoint they began at."""
    runner.scripts = [
        [HEAD, piece(0), piece(1), BROKEN],
        [FULL],
        [AttemptHead(500, ()), completed],
        [AttemptHead(200, (('X', 'second'),)), piece(2), completed],
    ]
    heads, data, error = await run(pipeline, stream())
    assert error is None
    assert heads == [HEAD]
    assert data == [piece(number).data for number in range(3)]
    assert [spec.resume_after for spec in runner.specs] == [None, 1, 1, 1]
    assert pipeline.admission.running_count('lab') == 0


async def test_many_streams_of_one_endpoint_go_on(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against a retry budget that ends the streams of a crash.

    Resumed streams repeat no work, so all streams of a crashed endpoint may
    go on at once.
    """
    runner.default = [HEAD, piece(1), completed]
    for _ in range(12):
        runner.scripts = [[HEAD, piece(0), BROKEN]]
        _, data, error = await run(pipeline, stream())
        assert error is None
        assert data == [piece(0).data, piece(1).data]


@pytest.mark.parametrize(
    ('resumable', 'events'),
    [
        (False, [HEAD, piece(0), BROKEN]),
        (True, [HEAD, piece(0), AttemptData(b'id: 1'), BROKEN]),
        (True, [AttemptHead(404, ()), AttemptData(b'no'), BROKEN]),
    ],
)
async def test_other_responses_end_where_they_broke(
    pipeline: RequestPipeline,
    runner: FakeRunner,
    resumable: bool,
    events: list[object],
) -> None:
    """Guards against joined responses that do not belong together."""
    runner.scripts = [list(events)]
    _, _, error = await run(pipeline, stream(resumable=resumable))
    assert error is not None
    assert error.not_run is False
    assert len(runner.specs) == 1


async def test_a_silent_stream_goes_on_elsewhere(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against streams that wait for an endpoint that hangs.

    The last attempt that is allowed waits on: silence is no reason to end a
    response.
    """
    runner.scripts = [
        [HEAD, piece(0), asyncio.Event()],
        [HEAD, piece(1), completed],
    ]
    request = stream(event_timeout_s=0.05)
    _, data, error = await run(pipeline, request)
    assert error is None
    assert data == [piece(0).data, piece(1).data]
    assert not any(pipeline.router.own_loads().values())
    released = asyncio.Event()
    asyncio.get_running_loop().call_later(0.2, released.set)
    runner.scripts = [[HEAD, piece(0), released, piece(1), completed]]
    request = stream(event_timeout_s=0.05, max_attempt_count=1)
    _, data, error = await run(pipeline, request)
    assert error is None
    assert data == [piece(0).data, piece(1).data]
