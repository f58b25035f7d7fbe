"""Items whose texts are scored."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches import ResultState
from dogwoodpost.core.batches import ScorerCall
from dogwoodpost.core.batches.endpoint_gaps import EndpointGaps
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.move_cost import MoveCost
from dogwoodpost.core.batches.output_lengths import OutputLengths
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.observability import Metrics
from dogwoodpost.services.batches.item_run import ItemRun
from dogwoodpost.services.entry.route_finder import RouteFinder
from tests.fakes.scripted_gateway import ScriptedGateway
from tests.services.batches.test_job_invariants import batch_job
from tests.services.entry.conftest import FakeConfiguration
from tests.services.test_continued_streams import honest_response
from tests.services.test_continued_streams import ImmediateClock
from tests.services.test_continued_streams import OneSlotDispatcher
from tests.services.test_continued_streams import ROUTE
from tests.services.test_continued_streams import SERVICE

if TYPE_CHECKING:
    from dogwoodpost.services.batches.endpoint_slot import EndpointSlot


class CountingDispatcher(OneSlotDispatcher):
    def __init__(self) -> None:
        super().__init__()
        self.acquired_count = 0
        self.held_count = 0

    async def acquire(self, request: object) -> EndpointSlot:
        self.acquired_count += 1
        self.held_count += 1
        return await super().acquire(request)

    def release(self, *args: object, **options: object) -> None:
        self.held_count -= 1


class WaitingScorer:
    """Scores a text once it may."""

    def __init__(self) -> None:
        self.is_called = asyncio.Event()
        self.may_score = asyncio.Event()
        self.due_times_s: list[float] = []

    async def score(self, call: object, account: object, due_s: float) -> str:
        del call, account
        self.due_times_s.append(due_s)
        self.is_called.set()
        await self.may_score.wait()
        return '1'


async def test_item_that_waits_for_its_score_holds_no_slot() -> None:
    """Guards against engines that stay idle while texts wait for a score."""
    configuration = Configuration(
        revision=ids.Revision(1),
        services={SERVICE.name: SERVICE},
        routes={ROUTE.name: ROUTE},
    )
    dispatcher = CountingDispatcher()
    scorer = WaitingScorer()
    context: Any = SimpleNamespace(
        gateway=ScriptedGateway(lambda _number, _call: honest_response(None)),
        dispatcher=dispatcher,
        clock=ImmediateClock(),
        pace=EndpointEventPace(),
        gaps=EndpointGaps(),
        move_cost=MoveCost(),
        policy=PolicyHolder(),
        lengths=OutputLengths(),
        endpoints=SimpleNamespace(note_versions=lambda *_: None),
        routes=RouteFinder(FakeConfiguration(configuration)),
        metrics=Metrics(),
        scorer=scorer,
    )
    job = msgspec.structs.replace(batch_job(), host='')
    call = ScorerCall(
        request_id=ids.RequestId('s'), host='', path='/score', body=b''
    )
    item = msgspec.structs.replace(job.items[0], scorer=call)
    run = asyncio.create_task(ItemRun(context, job, item).run())
    async with asyncio.timeout(5.0):
        await scorer.is_called.wait()
        assert (dispatcher.acquired_count, dispatcher.held_count) == (1, 0)
        assert scorer.due_times_s == [job.due_s]
        scorer.may_score.set()
        result = await run
    assert (result.state, result.score) == (ResultState.COMPLETED, '1')
