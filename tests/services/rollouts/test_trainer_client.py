"""Statuses of responses to a trainer, whose session may be any."""

from __future__ import annotations

import random

import aiohttp
import pytest

from dogwoodpost.client import TrainerClient
from dogwoodpost.core import ids
from dogwoodpost.errors import RequestError
from tests.platform.raw_endpoint import raw_endpoint
from tests.platform.raw_endpoint import RawRequest
from tests.platform.raw_endpoint import RawResponse

ERROR = (
    b'{"error": {"code": "unknown_step", "message": "none", "not_run": true}}'
)


@pytest.mark.parametrize(
    ('status', 'call_count', 'code'),
    [
        ('000', 2, 'unknown_step'),
        ('101', 2, 'unknown_step'),
        ('600', 2, 'unknown_step'),
        ('999', 2, 'unknown_step'),
        ('302', 1, 'refused'),
        ('304', 1, 'refused'),
    ],
)
async def test_other_response_is_no_batch(
    status: str, call_count: int, code: str
) -> None:
    """Guards against broken responses that end a trainer's work."""

    async def answer(request: RawRequest, response: RawResponse) -> None:
        if request.total_number == 1:
            await response.write_head(
                'Content-Length: 0', 'Connection: close', status=f'{status} X'
            )
            response.close()
            return
        await response.write_head(
            f'Content-Length: {len(ERROR)}', status='404 Not Found'
        )
        await response.write(ERROR)

    async with raw_endpoint(answer) as raw, aiohttp.ClientSession() as session:
        client = TrainerClient(
            session,
            [f'http://{raw.address}'],
            trainer_id=ids.TrainerId('trainer-1'),
            key='key-1',
            rng=random.Random(1),
        )
        with pytest.raises(RequestError) as caught:
            await client.step(ids.StepId('step-0'))
    assert caught.value.code == code
    assert raw.request_count == call_count
