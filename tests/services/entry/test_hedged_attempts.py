"""Requests with a second attempt beside the first, on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import hypothesis
import pytest
import structlog
from hypothesis import strategies as st

from dogwoodpost.core import messages
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import RouteKind
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.policy import HedgingPolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import Router
from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
from dogwoodpost.errors import RequestError
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEvent
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.ports.attempt_runner import AttemptRunner
from dogwoodpost.ports.attempt_runner import AttemptSpec
from dogwoodpost.services.entry.pipeline_request import PipelineRequest
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from dogwoodpost.standins.virtual_time import HostClock
from dogwoodpost.standins.virtual_time import run_virtual
from tests.fakes.pipeline import end
from tests.fakes.pipeline import endpoint
from tests.fakes.pipeline import FakeUsage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator

TIMEOUT_S = 1.0
NOT_RUN = {
    'refused': messages.RefusalReason.OVERLOADED,
    'unreachable': None,
}
FAILED = messages.AttemptOutcome.ENDPOINT_FAILED
ON = HedgingPolicy(extra_send_share=0.2)
RESUMABLE = Route(name='q', service='s', path_prefix='/', resumable=True)
STREAM = Route(name='q', service='s', path_prefix='/', kind=RouteKind.STREAM)
Behaviour = tuple[str, float]


@pytest.fixture(autouse=True, scope='module')
def quiet_logs() -> Iterator[None]:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(30)
    )
    yield
    structlog.reset_defaults()


class TimedRunner(AttemptRunner):
    """Each attempt has an outcome after a time.

    :param behave: returns both by endpoint and number of the attempt.
    """

    def __init__(self, behave: Callable[[str, int], Behaviour]) -> None:
        self.behave = behave
        self.sent: list[tuple[str, float, float]] = []
        self.not_run_count = 0
        self.running_count = 0

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        now_s = asyncio.get_running_loop().time()
        outcome, duration_s = self.behave(endpoint.endpoint_id, len(self.sent))
        self.sent.append((endpoint.endpoint_id, now_s, spec.timeout_s))
        self.running_count += 1
        try:
            await asyncio.sleep(duration_s)
            if outcome in NOT_RUN:
                self.not_run_count += 1
                raise AttemptNotRunError(NOT_RUN[outcome], outcome)
            if outcome == 'unknown':
                raise AttemptOutcomeUnknownError('reset')
            if outcome == 'silent':
                await asyncio.sleep(100.0)
            yield AttemptHead(500 if outcome == 'status_500' else 200, ())
            yield AttemptData(endpoint.endpoint_id.encode())
            if outcome == 'broken':
                raise AttemptOutcomeUnknownError('reset')
            yield AttemptData(endpoint.endpoint_id.encode())
            yield end(FAILED) if outcome == 'failed' else end()
        finally:
            self.running_count -= 1


class RunUsage(FakeUsage):
    """Also accepts the time of the send."""

    def record(self, *args: object, at_wall_s: float, **kw: object) -> None:
        super().record(*args, **kw)


class World:
    """A pipeline with six endpoints in three zones."""

    def __init__(
        self,
        behave: Callable[[str, int], Behaviour],
        settings: HedgingPolicy = ON,
        endpoint_count: int = 6,
        loading: LoadingEndpoints | None = None,
    ) -> None:
        self.runner = TimedRunner(behave)
        self.router = Router('z0', 'r', random.Random(1))
        for number in range(endpoint_count):
            self.router.upsert(
                endpoint(
                    f'e{number}', 's', availability_zone=f'z{number % 3}'
                ),
                0.0,
            )
        self.admission = Admission()
        self.usage = RunUsage()
        self.metrics = Metrics()
        self.policy = PolicyHolder(Policy(hedging=settings))
        self.attempted: list[str] = []
        self.stop_left_s = float('inf')
        self.pipeline = RequestPipeline(
            runner=self.runner,
            router=self.router,
            admission=self.admission,
            usage=self.usage,
            metrics=self.metrics,
            clock=HostClock(),
            rng=random.Random(1),
            bills_begun_requests=True,
            policy=self.policy,
            stop_left_s=lambda _now_s: self.stop_left_s,
            loading_endpoints=loading,
        )

    def request(self, **fields: object) -> PipelineRequest:
        values: dict[str, object] = {
            'request_id': 'r',
            'route': Route(name='q', service='s', path_prefix='/'),
            'service': Service(
                name='s',
                kind=ServiceKind.PLAIN,
                model='model',
                endpoint_concurrency=6,
            ),
            'client_account_id': 'lab',
            'method': 'POST',
            'path': '/',
            'timeout_s': TIMEOUT_S,
            'whole_response': True,
            'is_client_request': True,
            'max_attempt_count': 2,
        }
        return PipelineRequest(**{**values, **fields})

    async def send(self, **fields: object) -> bytes | RequestError:
        """Return the whole response; an error comes before any of it."""
        body = b''
        try:
            async for event in self.pipeline.execute(
                self.request(**fields), self.attempted.append
            ):
                body += event.data if isinstance(event, AttemptData) else b''
        except RequestError as error:
            assert not body
            return error
        return body

    async def warm_up(self) -> None:
        """Run enough requests for a delay of 20 ms."""
        behave, self.runner.behave = self.runner.behave, lambda *_: ('', 0.01)
        for _ in range(20):
            await self.send()
        self.runner.behave = behave
        self.runner.sent.clear()
        self.usage.records.clear()
        self.attempted.clear()

    def count(self, name: str) -> int:
        return int(self.metrics.events.labels(name)._value.get())

    def check_ended(self) -> None:
        """Check that nothing is left of the requests."""
        assert asyncio.all_tasks() == {asyncio.current_task()}
        assert self.runner.running_count == 0
        assert self.router.own_loads() == {}
        assert self.admission.running_count('lab') == 0
        assert self.pipeline.response_buffer.used_bytes == 0
        run_count = len(self.runner.sent) - self.runner.not_run_count
        assert len(self.usage.records) == run_count
        assert self.count('hedge_sent') == (
            self.count('hedge_won') + self.count('hedge_lost')
        )


OUTCOMES = ('good', 'status_500', 'unknown', 'broken', 'failed', 'silent')
BEHAVIOUR = st.tuples(
    st.sampled_from([*OUTCOMES, *NOT_RUN]),
    st.sampled_from([0.0, 0.01, 0.02, 0.03, 0.1, 0.98, 0.99]),
)


@hypothesis.given(
    st.lists(BEHAVIOUR, min_size=3, max_size=3),
    st.sampled_from([2, 3]),
    st.none() | st.sampled_from([0.0, 0.01, 0.02, 0.021, 0.03, 0.1, 0.98]),
)
@hypothesis.example(
    [('status_500', 0.1), ('good', 0.2), ('good', 0.0)], 2, None
)
@hypothesis.example(
    [('unknown', 0.04), ('refused', 0.03), ('good', 0.0)], 2, None
)
def test_request_has_one_response_or_one_error(
    behaviours: list[Behaviour], max_count: int, leaves_s: float | None
) -> None:
    """Guards against joined responses, leaked attempts and untrue refusals."""

    async def play() -> None:
        world = World(lambda _endpoint, number: behaviours[number])
        await world.warm_up()
        start_s = asyncio.get_running_loop().time()
        task = asyncio.create_task(world.send(max_attempt_count=max_count))
        if leaves_s is not None:
            await asyncio.sleep(leaves_s)
            was_done = task.done()
            task.cancel()
            await asyncio.wait([task])
            assert task.cancelled() is not was_done
        else:
            await task
        world.check_ended()
        sent = world.runner.sent
        assert len(sent) <= len(world.attempted) <= max_count
        assert len({name for name, _, _ in sent}) == len(sent)
        for _, at_s, timeout_s in sent:
            left_s = start_s + TIMEOUT_S - at_s
            assert timeout_s == pytest.approx(left_s, abs=1e-9)
        if task.cancelled():
            return
        result = task.result()
        has_good = any(
            outcome == 'good' and at_s + duration_s < start_s + TIMEOUT_S
            for (outcome, duration_s), (_, at_s, _) in zip(
                behaviours, sent, strict=False
            )
        )
        if isinstance(result, RequestError):
            is_refused = world.runner.not_run_count == len(sent)
            assert result.not_run is is_refused
            assert not has_good
            return
        half = len(result) // 2
        assert result[:half] == result[half:]
        outcomes = {
            name: outcome
            for (name, _, _), (outcome, _) in zip(
                sent, behaviours, strict=False
            )
        }
        expected = 'good' if has_good else 'status_500'
        assert outcomes[result[:half].decode()] == expected

    run_virtual(play())


@pytest.mark.parametrize(
    ('fields', 'settings'),
    [
        ({}, HedgingPolicy()),
        ({'idempotent': False}, ON),
        ({'whole_response': False}, ON),
        ({'max_attempt_count': 1}, ON),
        ({'route': RESUMABLE}, ON),
        ({'route': STREAM}, ON),
        ({'is_client_request': False}, ON),
    ],
)
def test_other_requests_are_not_hedged(
    fields: dict[str, object], settings: HedgingPolicy
) -> None:
    """Guards against second runs of requests that must not have any."""

    async def play() -> None:
        world = World(lambda *_: ('good', 0.5), settings)
        await world.warm_up()
        assert await world.send(**fields)
        assert len(world.runner.sent) == 1
        if not settings.enabled:
            assert b'hedge' not in world.metrics.render()
        world.check_ended()

    run_virtual(play())


def test_hedges_and_retries_share_the_retry_budget() -> None:
    """Guards against twice the extra load when requests are slow and fail."""

    async def play() -> None:
        world = World(lambda _name, _number: ('unknown', 0.05))
        await world.warm_up()
        for _ in range(12):
            await world.send(max_attempt_count=4)
        extra_count = len(world.runner.sent) - 12
        assert world.count('hedge_sent') > 0
        assert extra_count <= (20 + 12) * 0.2

    run_virtual(play())


def test_loser_is_closed_before_the_response_is_read() -> None:
    """Guards against a loser that runs for as long as a client reads."""

    async def play() -> None:
        world = World(lambda _name, number: ('good', (9.0, 0.1)[number]))
        await world.warm_up()
        async for _ in world.pipeline.execute(world.request()):
            await asyncio.sleep(0.001)
            assert world.runner.running_count == 0
            assert world.router.own_loads() == {}
        assert world.count('hedge_won') == 1

    run_virtual(play())


def test_same_endpoint_gets_no_second_attempt() -> None:
    """Guards against two runs of a request at one endpoint."""

    async def play() -> None:
        world = World(lambda *_: ('good', 0.1), endpoint_count=1)
        await world.warm_up()
        await world.send()
        assert len(world.runner.sent) == 1
        assert world.count('hedge_refused_no_endpoint') == 1

    run_virtual(play())


class ColdEndpoints:
    """Takes the second endpoint to be cold."""

    def limits(self, service: str) -> bool:
        return True

    def is_cold(self, described: Endpoint, now_s: float) -> bool:
        return described.endpoint_id == 'e1'

    def may_send(self, described: Endpoint, now_s: float) -> bool:
        return not self.is_cold(described, now_s)

    def ignore(self, *_: object, **__: object) -> None:
        """Accept any report."""

    note_need = record_send = record_result = wait_s = ignore


@pytest.mark.parametrize('state', ['cold', 'loading', 'full', 'ejected'])
def test_unfit_endpoint_gets_no_second_attempt(state: str) -> None:
    """Guards against second attempts that have to wait or are refused."""

    async def play() -> None:
        loading = LoadingEndpoints()
        world = World(
            lambda *_: ('good', 0.1), endpoint_count=2, loading=loading
        )
        await world.warm_up()
        now_s = asyncio.get_running_loop().time()
        if state == 'cold':
            world.router.limit_cold_starts(ColdEndpoints())
        elif state == 'loading':
            loading.begin('e1', 'model', now_s)
        elif state == 'full':
            world.router.report_load(
                messages.EndpointLoad(
                    endpoint_id='e1', running_count=6, waiting_count=0
                ),
                now_s,
            )
        else:
            for _ in range(3):
                result = AttemptResult(failed=True)
                world.router.finish('s', 'e1', 'a', result, now_s)
        await world.send()
        assert len(world.runner.sent) == 1
        reason = 'endpoints_lost' if state == 'ejected' else 'no_endpoint'
        assert world.count(f'hedge_refused_{reason}') == 1

    run_virtual(play())


def test_stop_and_switch_end_hedging_at_once() -> None:
    """Guards against second attempts that a stop would cut."""

    async def play() -> None:
        world = World(lambda *_: ('good', 0.1))
        await world.warm_up()
        world.stop_left_s = 0.005
        await world.send()
        assert world.count('hedge_refused_no_time') == 1
        world.stop_left_s = float('inf')
        task = asyncio.create_task(world.send())
        await asyncio.sleep(0.01)
        world.policy.replace(Policy())
        await task
        assert world.count('hedge_refused_switched_off') == 1
        assert len(world.runner.sent) == 2
        world.check_ended()

    run_virtual(play())


def test_slow_service_is_not_hedged_into() -> None:
    """Guards against second sends that worsen an overload.

    For 35 s, longer than the window of latencies, all requests are slow;
    before and after, a few are.
    """

    async def play() -> None:
        rng = random.Random(3)

        def behave(_name: str, _number: int) -> Behaviour:
            now_s = asyncio.get_running_loop().time()
            if 20.0 <= now_s < 55.0:
                return 'good', rng.uniform(0.15, 0.3)
            return 'good', 0.5 if rng.random() < 0.03 else rng.gauss(
                0.04, 0.004
            )

        world = World(behave, HedgingPolicy(extra_send_share=0.05))
        tasks = set()
        sent_at: dict[int, int] = {}
        for number in range(20 * 100):
            sent_at[number // 20] = world.count('hedge_sent')
            tasks.add(asyncio.create_task(world.send()))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        assert sent_at[20] >= 5
        assert sent_at[21] - sent_at[20] <= 4
        assert sent_at[55] == sent_at[21]
        assert sent_at[99] > sent_at[85]
        world.check_ended()

    run_virtual(play())
