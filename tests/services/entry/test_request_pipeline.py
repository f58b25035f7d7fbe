"""Attempts, retries and errors of the request pipeline."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import pytest
import structlog.testing

from dogwoodpost.core import messages
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.routing import Router
from dogwoodpost.core.routing import RouterSettings
from dogwoodpost.errors import RequestError
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from tests.fakes.pipeline import endpoint
from tests.fakes.pipeline import LoopClock

if TYPE_CHECKING:
    from dogwoodpost.observability import Metrics
    from tests.fakes.pipeline import FakeRunner
    from tests.fakes.pipeline import FakeUsage

HEAD = AttemptHead(200, ())
REFUSED = AttemptNotRunError(messages.RefusalReason.DRAINING, 'draining', 7.0)
NOT_SENT = AttemptNotRunError(None, 'no connection')
TOO_LATE = AttemptNotRunError(messages.RefusalReason.DEADLINE_PASSED, 'late')
UNKNOWN = AttemptOutcomeUnknownError('agent lost')
UNAVAILABLE = AttemptHead(503, ())


def end(outcome: str) -> AttemptEnd:
    return AttemptEnd(
        outcome=messages.AttemptOutcome(outcome),
        detail='',
        weight_versions=(),
        prompt_tokens=0,
        cached_tokens=0,
        completion_tokens=1,
    )


DONE = end('completed')
FAILED = end('endpoint_failed')
GOOD = [HEAD, DONE]


def request(**fields: object) -> PipelineRequest:
    values: dict[str, object] = {
        'request_id': 'r',
        'route': Route(name='q', service='quarry', path_prefix='/'),
        'service': Service(name='quarry', kind=ServiceKind.PLAIN),
        'client_account_id': 'lab',
        'method': 'POST',
        'path': '/',
        'timeout_s': 5.0,
    }
    return PipelineRequest(**{**values, **fields})


async def run(
    pipeline: RequestPipeline, request: PipelineRequest
) -> tuple[list[object], RequestError | None]:
    events = []
    try:
        async for event in pipeline.execute(request):
            events.append(event)
    except RequestError as error:
        return events, error
    return events, None


CASES = [
    # idempotent, scripts, attempts, code (None: completed), status, not_run
    (True, [GOOD], 1, None, 0, False),
    (True, [[REFUSED], GOOD], 2, None, 0, False),
    (True, [[NOT_SENT], GOOD], 2, None, 0, False),
    (True, [[UNKNOWN], GOOD], 2, None, 0, False),
    (True, [[FAILED], GOOD], 2, None, 0, False),
    (True, [[UNAVAILABLE, DONE], GOOD], 2, None, 0, False),
    (True, [[], GOOD], 2, None, 0, False),
    (True, [[REFUSED]] * 3, 3, 'not_run', 503, True),
    (True, [[UNKNOWN], [REFUSED], [REFUSED]], 3, 'not_run', 503, False),
    (True, [[UNKNOWN]] * 3, 3, 'outcome_unknown', 502, False),
    (True, [[FAILED]] * 3, 3, 'endpoint_failed', 502, False),
    (True, [[TOO_LATE]], 1, 'deadline_passed', 504, True),
    (True, [[end('deadline_passed')]], 1, 'deadline_passed', 504, False),
    (True, [[HEAD, UNKNOWN]], 1, 'outcome_unknown', 502, False),
    (True, [[HEAD, FAILED]], 1, 'endpoint_failed', 502, False),
    (False, [GOOD], 1, None, 0, False),
    (False, [[REFUSED], GOOD], 2, None, 0, False),
    (False, [[NOT_SENT], [REFUSED], GOOD], 3, None, 0, False),
    (False, [[UNAVAILABLE, DONE]], 1, None, 0, False),
    (False, [[UNKNOWN]], 1, 'outcome_unknown', 502, False),
    (False, [[REFUSED], [UNKNOWN]], 2, 'outcome_unknown', 502, False),
    (False, [[FAILED]], 1, 'outcome_unknown', 502, False),
    (False, [[]], 1, 'outcome_unknown', 502, False),
    (False, [[end('cancelled')]], 1, 'outcome_unknown', 502, False),
    (False, [[end('deadline_passed')]], 1, 'outcome_unknown', 502, False),
    (False, [[HEAD, UNKNOWN]], 1, 'outcome_unknown', 502, False),
]


@pytest.mark.parametrize(
    ('idempotent', 'scripts', 'attempt_count', 'code', 'status', 'not_run'),
    CASES,
)
async def test_attempts_and_errors(
    pipeline: RequestPipeline,
    runner: FakeRunner,
    metrics: Metrics,
    idempotent: bool,
    scripts: list[list[object]],
    attempt_count: int,
    code: str | None,
    status: int,
    not_run: bool,
) -> None:
    """Guards against running a request twice that is not idempotent."""
    runner.scripts = [list(script) for script in scripts]
    _, error = await run(pipeline, request(idempotent=idempotent))
    assert len(runner.specs) == attempt_count
    assert len({spec.attempt_id for spec in runner.specs}) == attempt_count
    if code is None:
        assert error is None
    else:
        assert (error.code, error.status) == (code, status)
        assert error.not_run is not_run
        assert error.retry_after_s
        assert metrics.refusals.labels(code)._value.get() == 1
    assert pipeline.admission.running_count('lab') == 0
    if attempt_count > 1:
        # A retry goes to an untried endpoint as long as there is one.
        assert runner.endpoint_ids[0] != runner.endpoint_ids[1]


async def test_retry_after_of_the_agent_is_kept(
    pipeline: RequestPipeline, runner: FakeRunner, metrics: Metrics
) -> None:
    """Guards against ignoring the retry delay that the agent asks for."""
    runner.default = [REFUSED]
    _, error = await run(pipeline, request())
    assert error.retry_after_s == 7.0
    assert metrics.retries.labels('draining')._value.get() == 2


async def test_log_tells_why_a_retried_attempt_failed(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against failures whose cause is lost because of a retry."""
    runner.scripts = [[UNKNOWN], GOOD]
    with structlog.testing.capture_logs() as logs:
        await run(pipeline, request())
    details = [log['detail'] for log in logs if log['event'] == 'attempt']
    assert details == ['agent lost', '']


async def test_whole_response_is_retried_after_partial_body(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against forwarding a partial JSON body."""
    runner.scripts = [[HEAD, AttemptData(b'{"a'), UNKNOWN]]
    runner.default = [HEAD, AttemptData(b'{}'), DONE]
    events, error = await run(pipeline, request(whole_response=True))
    assert (error, events) == (None, runner.default)


async def test_budget_bounds_retries_of_a_route(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against retries that multiply the load of a failing service."""
    runner.default = [FAILED]
    for _ in range(50):
        await run(pipeline, request())
    assert len(runner.specs) == 50 + 50 * 0.2


@pytest.mark.parametrize(
    ('idempotent', 'code'),
    [(True, 'deadline_passed'), (False, 'outcome_unknown')],
)
async def test_time_limit_ends_an_attempt(
    pipeline: RequestPipeline, runner: FakeRunner, idempotent: bool, code: str
) -> None:
    """Guards against attempts that keep running after their deadline."""
    runner.default = [asyncio.Event()]
    _, error = await run(
        pipeline, request(timeout_s=0.02, idempotent=idempotent)
    )
    assert (error.code, error.not_run) == (code, False)
    assert runner.cancelled_count == 1


async def test_request_expires_in_the_queue(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against running an expired request, or reporting that it ran."""
    late = request(timeout_s=0.02, min_weight_version=9)
    _, error = await run(pipeline, late)
    assert (error.code, error.not_run) == ('expired_in_queue', True)
    assert runner.specs == []
    assert pipeline.admission.waiting_count('quarry') == 0


async def test_request_without_endpoint_is_refused(
    pipeline: RequestPipeline, router: Router
) -> None:
    """Guards against requests that wait for endpoints that don't exist."""
    for name in ('quarry-1', 'quarry-2'):
        router.remove(name, 0.0)
    _, error = await run(pipeline, request())
    assert (error.code, error.status) == ('no_endpoint', 503)
    assert error.not_run


async def test_queue_starts_the_next_request(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against requests that stay queued when a slot is free."""
    gate = asyncio.Event()
    runner.scripts = [[gate, *GOOD] for _ in range(4)]
    service = Service(
        name='quarry', kind=ServiceKind.PLAIN, endpoint_concurrency=1
    )
    tasks = [
        asyncio.create_task(run(pipeline, request(service=service)))
        for _ in range(6)
    ]
    await asyncio.sleep(0.05)
    started_count = len(runner.specs)
    assert started_count < 6
    gate.set()
    assert [error for _, error in await asyncio.gather(*tasks)] == [None] * 6


async def test_usage_is_recorded_once(
    pipeline: RequestPipeline, runner: FakeRunner, usage: FakeUsage
) -> None:
    """Guards against billing failed attempts or anonymous requests."""
    runner.scripts = [[FAILED]]
    runner.default = GOOD
    await run(pipeline, request())
    await run(pipeline, request(client_account_id=None))
    assert usage.records == [('lab', 1, 0, 1)]


async def test_cancelled_request_releases_its_slot(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against slots that stay in use after a caller disconnects."""
    runner.default = [asyncio.Event()]
    task = asyncio.create_task(run(pipeline, request()))
    await asyncio.sleep(0.02)
    waiting = asyncio.create_task(run(pipeline, request(min_weight_version=9)))
    await asyncio.sleep(0.02)
    for request_task in (task, waiting):
        request_task.cancel()
        await asyncio.wait([request_task])
    assert runner.cancelled_count == 1
    assert pipeline.admission.running_count('lab') == 0
    assert pipeline.admission.waiting_count('quarry') == 0


async def test_priority_and_deadline_reach_the_runner(
    pipeline: RequestPipeline, runner: FakeRunner
) -> None:
    """Guards against attempts that outlive their request."""
    await run(pipeline, request(priority=4, timeout_s=3.0))
    spec = runner.specs[0]
    assert spec.priority == 4
    assert 0.0 < spec.timeout_s <= 3.0
    assert msgspec.json.encode(spec.headers) == b'[]'


async def test_region_change_in_the_queue_moves_the_request(
    runner: FakeRunner, metrics: Metrics, usage: FakeUsage
) -> None:
    """Guards against a waiting request that keeps the regions of its arrival.

    All slots of the allowed region are taken while the regions change.
    """
    route = Route(
        name='q',
        service='stone',
        path_prefix='/',
        allowed_regions=AllowedRegions(frozenset({'near'})),
    )
    settings = RouterSettings(
        overcommit_factor=1.0, underserved_overcommit_factor=1.0
    )
    router = Router('a', 'near', random.Random(1), settings)
    current = [Configuration(routes={'q': route})]
    pipeline = RequestPipeline(
        runner=runner,
        router=router,
        admission=Admission(),
        usage=usage,
        metrics=metrics,
        clock=LoopClock(),
        rng=random.Random(1),
        current_configuration=lambda: current[0],
    )
    for region in ('near', 'far'):
        router.upsert(
            endpoint(region, 'stone', region=region, capacity_count=1), 0.0
        )
    service = Service(name='stone', kind=ServiceKind.PLAIN)
    release = asyncio.Event()
    runner.scripts = [[release, HEAD, DONE], GOOD]
    first = asyncio.create_task(
        run(pipeline, request(route=route, service=service))
    )
    await asyncio.sleep(0.01)
    second = asyncio.create_task(
        run(pipeline, request(route=route, service=service, request_id='s'))
    )
    await asyncio.sleep(0.05)
    assert runner.endpoint_ids == ['near']
    changed = msgspec.structs.replace(
        route, allowed_regions=AllowedRegions(frozenset({'far'}))
    )
    current[0] = Configuration(routes={'q': changed})
    release.set()
    for task in (first, second):
        events, error = await task
        assert events == GOOD
        assert error is None
    assert runner.endpoint_ids == ['near', 'far']
