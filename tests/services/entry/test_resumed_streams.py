"""Streams that are resumed at another endpoint within one response."""

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
REFUSED = AttemptNotRunError(RefusalReason.OVERLOADED, 'full')
INTERRUPTED = AttemptOutcomeUnknownError('body broke off')


def event_data(number: int) -> AttemptData:
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


async def test_interrupted_stream_resumes_within_its_response(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against streams that end when their first endpoint fails."""
    runner.scripts = [
        [HEAD, event_data(0), event_data(1), INTERRUPTED],
        [REFUSED],
        [AttemptHead(500, ()), completed],
        [
            AttemptHead(200, (*HEAD.headers, ('X', 'second'))),
            event_data(2),
            completed,
        ],
    ]
    heads, data, error = await run(pipeline, stream())
    assert error is None
    assert heads == [HEAD]
    assert data == [event_data(number).data for number in range(3)]
    assert [spec.resume_after for spec in runner.specs] == [None, 1, 1, 1]
    assert pipeline.admission.running_count('lab') == 0


async def test_retry_budget_does_not_limit_resumed_streams(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against a retry budget that stops streams from resuming.

    Resumed streams repeat no work, so all streams of a crashed endpoint may
    be resumed at once.
    """
    runner.default = [HEAD, event_data(1), completed]
    for _ in range(12):
        runner.scripts = [[HEAD, event_data(0), INTERRUPTED]]
        _, data, error = await run(pipeline, stream())
        assert error is None
        assert data == [event_data(0).data, event_data(1).data]


@pytest.mark.parametrize(
    ('resumable', 'events'),
    [
        (False, [HEAD, event_data(0), INTERRUPTED]),
        (True, [HEAD, event_data(0), AttemptData(b'id: 1'), INTERRUPTED]),
        (True, [AttemptHead(404, ()), AttemptData(b'no'), INTERRUPTED]),
    ],
)
async def test_other_responses_are_not_resumed(
    pipeline: RequestPipeline,
    runner: FakeRunner,
    resumable: bool,
    events: list[object],
) -> None:
    """Guards against joining parts of unrelated responses."""
    runner.scripts = [list(events)]
    _, _, error = await run(pipeline, stream(resumable=resumable))
    assert error is not None
    assert error.not_run is False
    assert len(runner.specs) == 1


async def test_silent_stream_resumes_at_another_endpoint(
    pipeline: RequestPipeline, runner: FakeRunner, completed: AttemptEnd
) -> None:
    """Guards against streams that wait for a hanging endpoint.

    The last attempt within the limit keeps waiting, since a response must not
    be ended only because its endpoint is silent.
    """
    runner.scripts = [
        [HEAD, event_data(0), asyncio.Event()],
        [HEAD, event_data(1), completed],
    ]
    request = stream(event_timeout_s=0.05)
    _, data, error = await run(pipeline, request)
    assert error is None
    assert data == [event_data(0).data, event_data(1).data]
    assert not any(pipeline.router.own_loads().values())
    released = asyncio.Event()
    asyncio.get_running_loop().call_later(0.2, released.set)
    runner.scripts = [
        [HEAD, event_data(0), released, event_data(1), completed]
    ]
    request = stream(event_timeout_s=0.05, max_attempt_count=1)
    _, data, error = await run(pipeline, request)
    assert error is None
    assert data == [event_data(0).data, event_data(1).data]
