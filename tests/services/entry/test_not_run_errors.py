"""The ``not_run`` flag of errors, over random sequences of attempts."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.admission import Admission
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.messages import RefusalReason
from dogwoodpost.core.retries import RetryPolicy
from dogwoodpost.core.routing import Router
from dogwoodpost.errors import RequestError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from tests.fakes.pipeline import endpoint
from tests.fakes.pipeline import FakeRunner
from tests.fakes.pipeline import FakeUsage
from tests.fakes.pipeline import LoopClock

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ATTEMPT_COUNT = 3
FREE_NOT_RUN_COUNT = 2


def end(outcome: AttemptOutcome) -> AttemptEnd:
    return AttemptEnd(
        outcome=outcome,
        detail='',
        weight_versions=(),
        prompt_tokens=0,
        cached_tokens=0,
        completion_tokens=1,
    )


COMPLETED = end(AttemptOutcome.COMPLETED)
FIRST_EVENT = AttemptData(b'id: 0\n\n', ends_event=True, last_event_id=0)
NOT_RUN_SCRIPTS: dict[str, list[object]] = {
    'refused': [AttemptNotRunError(RefusalReason.OVERLOADED, 'full', 0.1)],
    'not_sent': [AttemptNotRunError(None, 'no connection')],
}
MAY_HAVE_RUN_SCRIPTS: dict[str, list[object]] = {
    'good': [AttemptHead(200, ()), COMPLETED],
    'unknown': [AttemptOutcomeUnknownError('reset')],
    'failed': [end(AttemptOutcome.ENDPOINT_FAILED)],
    'no_end': [],
    'status_500': [AttemptHead(500, ()), COMPLETED],
    'status_503': [AttemptHead(503, ()), COMPLETED],
    'status_404': [AttemptHead(404, ()), COMPLETED],
    'broken': [
        AttemptHead(200, ()),
        FIRST_EVENT,
        AttemptOutcomeUnknownError(''),
    ],
    'cancelled': [end(AttemptOutcome.CANCELLED)],
    'late': [end(AttemptOutcome.DEADLINE_PASSED)],
}
ATTEMPT_SCRIPTS = {**NOT_RUN_SCRIPTS, **MAY_HAVE_RUN_SCRIPTS}


def make_pipeline(runner: FakeRunner) -> RequestPipeline:
    router = Router('a', 'r', random.Random(1))
    for number in range(3):
        router.upsert(endpoint(f'slate-{number}', 'slate'), 0.0)
    return RequestPipeline(
        runner=runner,
        router=router,
        admission=Admission(),
        usage=FakeUsage(),
        metrics=Metrics(),
        clock=LoopClock(),
        rng=random.Random(1),
        retry_policy=RetryPolicy(base_delay_s=0.0),
    )


def request(*, idempotent: bool, resumable: bool) -> PipelineRequest:
    return PipelineRequest(
        request_id='r',
        route=Route(
            name='s', service='slate', path_prefix='/', resumable=resumable
        ),
        service=Service(name='slate', kind=ServiceKind.ENGINE),
        client_account_id='lab',
        method='POST',
        path='/',
        timeout_s=5.0,
        idempotent=idempotent,
        max_attempt_count=MAX_ATTEMPT_COUNT,
        free_not_run_count=FREE_NOT_RUN_COUNT,
        whole_response=not resumable,
    )


async def run(
    runner: FakeRunner, names: Sequence[str], pipeline_request: PipelineRequest
) -> RequestError | None:
    runner.scripts = [list(ATTEMPT_SCRIPTS[name]) for name in names]
    runner.default = [AttemptHead(200, ()), COMPLETED]
    try:
        async for _ in make_pipeline(runner).execute(pipeline_request):
            pass
    except RequestError as error:
        return error
    return None


def check_not_run(
    names: list[str], *, idempotent: bool, resumable: bool
) -> None:
    """Run a request over the named attempts and check its error."""
    runner = FakeRunner()
    pipeline_request = request(
        idempotent=idempotent, resumable=resumable and idempotent
    )
    error = asyncio.run(run(runner, names, pipeline_request))
    played_names = [*names, *['good'] * len(runner.specs)][: len(runner.specs)]
    run_names = [name for name in played_names if name in MAY_HAVE_RUN_SCRIPTS]
    if error is not None:
        assert error.not_run is not bool(run_names)
        if error.not_run:
            assert error.retry_after_s
    assert len(run_names) <= (MAX_ATTEMPT_COUNT if idempotent else 1)
    assert len(runner.specs) <= MAX_ATTEMPT_COUNT + FREE_NOT_RUN_COUNT


CASES = given(
    names=st.lists(st.sampled_from(sorted(ATTEMPT_SCRIPTS)), max_size=8),
    idempotent=st.booleans(),
    resumable=st.booleans(),
)


@CASES
def test_not_run_flag_matches_attempts(
    names: list[str], idempotent: bool, resumable: bool
) -> None:
    """Guards against errors that wrongly say that a request has not run.

    A client repeats such a request. Also guards against running a request
    twice that is not idempotent, and against more runs than a route allows.
    """
    check_not_run(names, idempotent=idempotent, resumable=resumable)


@pytest.mark.fuzz
@CASES
def test_not_run_flag_matches_many_attempts(
    names: list[str], idempotent: bool, resumable: bool
) -> None:
    """Guards against the same failures with many more sequences."""
    check_not_run(names, idempotent=idempotent, resumable=resumable)
