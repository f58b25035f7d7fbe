"""``dogwoodpost standin-trainer``: runs the stand-in of a trainer."""

from __future__ import annotations

import asyncio
from typing import Annotated

import aiohttp
import cyclopts

from dogwoodpost.adapters.http.bounded_connector import (
    BoundedProtocolConnector,
)
from dogwoodpost.adapters.http.bounded_connector import KEEPALIVE_S
from dogwoodpost.client import TrainerClient
from dogwoodpost.core import ids
from dogwoodpost.standins.trainer import StandinTrainer
from dogwoodpost.standins.trainer import TrainerState

KEY_VARIABLE = 'DOGWOODPOST_KEY'


def standin_trainer(
    entry_url: str,
    *,
    trainer_id: str = 'trainer-1',
    service: str = 'slate-lm',
    step_count: int = 1,
    key: Annotated[str, cyclopts.Parameter(env_var=KEY_VARIABLE)],
) -> None:
    """Run steps one after the other and print what arrived."""
    state = asyncio.run(_run(entry_url, trainer_id, service, step_count, key))
    print(f'samples: {len(state.scores)}, repeated: {state.repeated_count}')


async def _run(
    entry_url: str, trainer_id: str, service: str, step_count: int, key: str
) -> TrainerState:
    state = TrainerState()
    connector = BoundedProtocolConnector(keepalive_s=KEEPALIVE_S)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = TrainerClient(
            session,
            [entry_url],
            trainer_id=ids.TrainerId(trainer_id),
            key=key,
        )
        await StandinTrainer(client, state, service=service).run(step_count)
    return state
