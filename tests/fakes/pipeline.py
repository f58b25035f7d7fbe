"""Fakes at the ports of the request pipeline."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.ports.attempt_runner import AttemptData
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.attempt_runner import AttemptRunner
from dogwoodpost.ports.clock import Clock
from dogwoodpost.ports.usage_recorder import UsageRecorder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodpost.core import ids
    from dogwoodpost.ports.attempt_runner import AttemptEvent
    from dogwoodpost.ports.attempt_runner import AttemptSpec

JSON_HEAD = AttemptHead(
    200, (('Content-Type', 'application/json'), ('Connection', 'x-hop'))
)


def end(
    outcome: AttemptOutcome = AttemptOutcome.COMPLETED,
    completion_tokens: int = 5,
) -> AttemptEnd:
    return AttemptEnd(
        outcome=outcome,
        detail='',
        weight_versions=(),
        prompt_tokens=10,
        cached_tokens=0,
        completion_tokens=completion_tokens,
    )


class FakeRunner(AttemptRunner):
    """Runs a script per attempt.

    A script is a list of events to yield, exceptions to raise and
    ``asyncio.Event`` objects to wait for.
    """

    def __init__(self) -> None:
        self.specs: list[AttemptSpec] = []
        self.endpoint_ids: list[str] = []
        self.scripts: list[list[object]] = []
        self.default: list[object] = [JSON_HEAD, AttemptData(b'{}'), end()]
        self.cancelled_count = 0

    async def run(
        self, endpoint: Endpoint, spec: AttemptSpec
    ) -> AsyncIterator[AttemptEvent]:
        self.specs.append(spec)
        self.endpoint_ids.append(endpoint.endpoint_id)
        script = self.scripts.pop(0) if self.scripts else self.default
        try:
            for item in script:
                if isinstance(item, Exception):
                    raise item
                if isinstance(item, asyncio.Event):
                    await item.wait()
                    continue
                yield item  # type: ignore[misc]
        except (asyncio.CancelledError, GeneratorExit):
            self.cancelled_count += 1
            raise


class LoopClock(Clock):
    """Real time, with sleeps in the event loop."""

    def monotonic_s(self) -> float:
        return time.monotonic()

    def wall_s(self) -> float:
        return time.time()

    async def sleep(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s)


class FakeUsage(UsageRecorder):
    """Keeps the recorded usage as tuples."""

    def __init__(self) -> None:
        self.records: list[tuple[str, int, int, int]] = []

    def record(
        self,
        client_account_id: ids.ClientAccountId,
        *,
        request_count: int,
        prompt_tokens: int,
        completion_tokens: int,
    ) -> None:
        self.records.append(
            (
                client_account_id,
                request_count,
                prompt_tokens,
                completion_tokens,
            )
        )


def endpoint(name: str, service: str, **fields: object) -> Endpoint:
    values: dict[str, object] = {
        'endpoint_id': name,
        'service': service,
        'host_id': f'host-{name}',
        'availability_zone': 'a',
        'region': 'r',
        'agent_id': f'agent-{name}',
        'agent_incarnation': '1',
        'agent_address': '127.0.0.1:1',
        'weight_version': 1,
    }
    return Endpoint(**{**values, **fields})
