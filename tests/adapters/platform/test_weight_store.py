"""Contract tests of the weight store client against the stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import pytest
import pytest_asyncio
from aiohttp.test_utils import TestServer

from dogwoodpost.adapters.platform.weight_store import HttpWeightStore
from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformRateLimitError
from dogwoodpost.standins import weight_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODEL = ids.ModelName('slate')
VERSION_1 = ids.WeightVersion(1)


@pytest_asyncio.fixture
async def served() -> AsyncIterator[
    tuple[HttpWeightStore, weight_store.WeightStoreState]
]:
    state = weight_store.WeightStoreState(rate_per_s=0.001, burst=2.0)
    server = TestServer(weight_store.create_app(state), host='127.0.0.1')
    async with server, aiohttp.ClientSession() as session:
        url = str(server.make_url(''))
        yield HttpWeightStore(session, url, timeout_s=5.0), state


async def test_versions_and_weights(
    served: tuple[HttpWeightStore, weight_store.WeightStoreState],
) -> None:
    """Guards against an old version being returned as the newest."""
    store, state = served
    assert await store.latest_version(MODEL) is None
    state.announce(MODEL, 1, b'one')
    state.announce(MODEL, 2, b'two')
    assert await store.latest_version(MODEL) == 2
    assert await store.fetch(MODEL, VERSION_1) == b'one'


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ({'failing_count': 1}, PlatformError),
        ({'cut_count': 1}, PlatformError),
        ({'versions': {}}, PlatformError),
        (
            {'bucket': weight_store.TokenBucket(0.001, 0.0)},
            PlatformRateLimitError,
        ),
    ],
)
async def test_faults_are_platform_errors(
    served: tuple[HttpWeightStore, weight_store.WeightStoreState],
    fault: dict[str, object],
    error: type[Exception],
) -> None:
    """Guards against partial weights and unlimited retries."""
    store, state = served
    state.announce(MODEL, 1, b'x' * 100_000)
    for name, value in fault.items():
        setattr(state, name, value)
    with pytest.raises(error):
        await store.fetch(MODEL, VERSION_1)
