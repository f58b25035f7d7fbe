"""Tests the HTTP interface for trainers with its client library."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestServer
from rollout_fakes import ACCOUNT
from rollout_fakes import World

from dogwoodpost.client import TrainerClient
from dogwoodpost.core import ids
from dogwoodpost.errors import RequestError
from dogwoodpost.services.rollouts.routes import add_rollout_routes
from dogwoodpost.standins.trainer import StandinTrainer
from dogwoodpost.standins.trainer import TrainerState
from dogwoodpost.standins.virtual_time import HostClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

KEYS = {'Bearer key-1': ACCOUNT, 'Bearer key-2': ids.ClientAccountId('other')}
STEP = {
    'step_id': 'step-0',
    'service': 'slate-lm',
    'prompts': ['p'],
    'samples_per_group': 1,
    'max_tokens': 4,
    'max_version_lag': 1,
    'deadline_s': 60.0,
}


def authenticate(request: web.Request) -> ids.ClientAccountId:
    account = KEYS.get(request.headers.get('Authorization', ''))
    if account is None:
        raise RequestError('bad_key', 'unknown key', status=401, not_run=True)
    return account


class ServedEntry:
    """An entry that drops the next ``dropped_response_count`` responses."""

    def __init__(self) -> None:
        self.world = World(seed=3)
        self.world.dispatcher.token_s = 0.0
        self.dropped_response_count = 0
        self.url = ''
        self.session: aiohttp.ClientSession

    @web.middleware
    async def drop_connection(self, request: web.Request, handler: Any) -> Any:
        response = await handler(request)
        if self.dropped_response_count > 0 and request.transport is not None:
            self.dropped_response_count -= 1
            request.transport.close()
        return response

    def client(self, cursor: str = '0', key: str = 'key-1') -> TrainerClient:
        return TrainerClient(
            self.session,
            [self.url],
            trainer_id=ids.TrainerId('trainer-1'),
            key=key,
            cursor=cursor,
            wait_s=0.2,
            rng=random.Random(1),
        )

    async def call(self, method: str, path: str, **options: Any) -> Any:
        url = f'{self.url}/rollouts/v1/trainers/trainer-1/{path}'
        options.setdefault('headers', {'Authorization': 'Bearer key-1'})
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.json()


@pytest_asyncio.fixture
async def served() -> AsyncIterator[ServedEntry]:
    served = ServedEntry()
    service = served.world.service()
    app = web.Application(middlewares=[served.drop_connection])
    add_rollout_routes(
        app, service=service, clock=HostClock(), authenticate=authenticate
    )
    server = TestServer(app, host='127.0.0.1')
    async with service, server, aiohttp.ClientSession() as session:
        served.session = session
        served.url = str(server.make_url('')).rstrip('/')
        yield served


async def test_a_trainer_gets_each_slot_once_despite_lost_responses(
    served: ServedEntry,
) -> None:
    """Guards against slots that a lost response repeats or loses."""
    served.dropped_response_count = 3
    state = TrainerState()
    await StandinTrainer(served.client(), state).run(2)
    assert len(state.scores) == 16
    assert state.repeated_count == 0


async def test_a_resumed_trainer_continues_after_its_cursor(
    served: ServedEntry,
) -> None:
    """Guards against batches that are delivered again after a crash."""
    state = TrainerState()
    client = served.client()
    await StandinTrainer(client, state).run(1)
    resumed = TrainerState(cursor=state.cursor, scores=dict(state.scores))
    await StandinTrainer(served.client(state.cursor), resumed).run(2)
    assert len(resumed.scores) == 16
    assert resumed.repeated_count == 0


async def test_a_repeated_fetch_returns_the_same_batch(
    served: ServedEntry,
) -> None:
    """Guards against a batch whose id or content changes on a repeat."""
    await served.call('POST', 'steps', json=STEP)
    path = 'batches?after=0&wait_ms=5000'
    first = await served.call('GET', path)
    again = await served.call('GET', path)
    assert first[1]['batch']['samples']
    for field in ('batch_id', 'cursor', 'samples'):
        assert first[1]['batch'][field] == again[1]['batch'][field]


async def test_a_stale_issued_batch_is_replaced_after_asking_the_trainer(
    served: ServedEntry,
) -> None:
    """Guards against stale samples, and against a slot delivered twice."""
    await served.call('POST', 'steps', json=STEP)
    path = 'batches?after=0&wait_ms=5000'
    _, first = await served.call('GET', path)
    served.world.current_version = ids.WeightVersion(3)
    served.world.dispatcher.version = ids.WeightVersion(3)
    _, stale = await served.call('GET', path)
    assert stale['batch']['batch_id'] == first['batch']['batch_id']
    assert stale['batch']['samples'] is None
    ack = f'batches/{first["batch"]["batch_id"]}/ack'
    assert (await served.call('POST', ack, json={'received': False}))[0] == 200
    _, fresh = await served.call('GET', path)
    assert fresh['batch']['batch_id'] != first['batch']['batch_id']
    assert fresh['batch']['samples'][0]['segments'][0]['weight_version'] == 3
    assert (await served.call('POST', ack, json={'received': True}))[0] == 409


@pytest.mark.parametrize(
    ('method', 'path', 'options', 'status', 'code'),
    [
        ('POST', 'steps', {'data': b'{'}, 400, 'bad_request'),
        (
            'POST',
            'steps',
            {'json': {**STEP, 'prompts': []}},
            400,
            'bad_request',
        ),
        (
            'POST',
            'steps',
            {'json': {**STEP, 'prompts': ['q']}},
            409,
            'step_conflict',
        ),
        ('GET', 'batches?after=-1', {}, 400, 'bad_request'),
        ('GET', 'batches?after=x', {}, 400, 'bad_request'),
        ('GET', 'batches', {'headers': {}}, 401, 'bad_key'),
        (
            'GET',
            'batches',
            {'headers': {'Authorization': 'Bearer key-2'}},
            403,
            'forbidden_trainer',
        ),
        ('GET', 'steps/none', {}, 404, 'unknown_step'),
        ('POST', 'batches/step-0.9/ack', {'json': {}}, 404, 'unknown_batch'),
        ('POST', 'batches/x/ack', {'json': {}}, 404, 'unknown_batch'),
    ],
)
async def test_bad_calls_get_typed_errors(
    served: ServedEntry,
    method: str,
    path: str,
    options: dict[str, Any],
    status: int,
    code: str,
) -> None:
    """Guards against HTTP status 500 for invalid calls."""
    assert (await served.call('POST', 'steps', json=STEP))[0] == 201
    assert (await served.call('POST', 'steps', json=STEP))[0] == 201
    answer = await served.call(method, path, **options)
    assert (answer[0], answer[1]['error']['code']) == (status, code)


async def test_a_trainer_of_another_entry_is_refused(
    served: ServedEntry,
) -> None:
    """Guards against an entry that serves a trainer it does not own."""
    served.world.holder = object()
    status, body = await served.call('GET', 'batches')
    assert (status, body['error']['code']) == (503, 'not_owner')
