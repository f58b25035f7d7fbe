"""Stand-in for a trainer, based on the client library."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.client import StepSubmission
from dogwoodpost.core import ids

if TYPE_CHECKING:
    from dogwoodpost.client import TrainerClient


class TrainerState(msgspec.Struct, kw_only=True):
    """State that a trainer stores in one write.

    ``cursor`` is that of the last batch; ``scores`` maps sample slots to
    scores; ``repeated_count`` counts samples whose slot already had a score.
    """

    cursor: str = '0'
    scores: dict[str, float] = msgspec.field(default_factory=dict)
    repeated_count: int = 0


class StandinTrainer:
    """Runs steps and counts sample slots that arrive more than once."""

    def __init__(
        self,
        client: TrainerClient,
        state: TrainerState,
        *,
        service: str = 'slate-lm',
        group_count: int = 4,
        samples_per_group: int = 2,
        max_tokens: int = 32,
    ) -> None:
        self.state = state
        self._client = client
        self._service = ids.ServiceName(service)
        self._group_count = group_count
        self._samples_per_group = samples_per_group
        self._max_tokens = max_tokens

    async def run(self, step_count: int) -> None:
        """Run steps in sequence; a resumed run submits its step again."""
        for number in range(step_count):
            await self.run_step(number)

    async def run_step(self, number: int) -> None:
        """Submit a step; store and acknowledge each of its batches."""
        step_id = ids.StepId(f'step-{number}')
        await self._client.submit_step(
            StepSubmission(
                step_id=step_id,
                service=self._service,
                prompts=tuple(
                    f'Task {group}:' for group in range(self._group_count)
                ),
                samples_per_group=self._samples_per_group,
                max_tokens=self._max_tokens,
                max_version_lag=2,
                max_age_s=600.0,
                deadline_s=600.0,
            )
        )
        async for batch in self._client.batches(step_id):
            for sample in batch.samples:
                slot = f'{batch.step_id}/{sample.group}/{sample.index}'
                self.state.repeated_count += slot in self.state.scores
                self.state.scores[slot] = sample.score
            self.state.cursor = batch.cursor
            await self._client.acknowledge(batch)
