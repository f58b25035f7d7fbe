"""Malformed heads of responses to all sessions."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.adapters.http.call_errors import CALL_ERRORS
from dogwoodpost.adapters.platform.guarded_http_client import GuardedHttpClient
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.sessions import guarded_session
from dogwoodpost.platform.sessions import http_session
from tests.fakes.sessions import session_to_endpoints
from tests.fakes.sessions import session_to_the_store
from tests.platform.malformed_responses import HEADS
from tests.platform.malformed_responses import MalformedResponses
from tests.platform.malformed_responses import STATUSES
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.fakes.sessions import OpenSession

SESSIONS: dict[str, Callable[[], OpenSession]] = {
    'endpoints': session_to_endpoints,
    'store': session_to_the_store,
    'kept': lambda: http_session(ConnectionCounts(Metrics()), reuse=True),
    'fresh': lambda: http_session(ConnectionCounts(Metrics()), reuse=False),
    'guarded': lambda: guarded_session(ConnectionCounts(Metrics())),
}


@pytest.mark.parametrize('session_name', SESSIONS)
async def test_session_rejects_malformed_heads(session_name: str) -> None:
    """Guards against sessions that take what others refuse."""
    responses = MalformedResponses(STATUSES['status_000'], is_stream=False)
    async with (
        raw_endpoint(responses.answer) as raw,
        SESSIONS[session_name]() as session,
    ):
        for responses.head in HEADS.values():
            responses.malformed_left = 1
            with pytest.raises(CALL_ERRORS) as caught:
                await session.get(f'http://{raw.address}/')
            assert 'malformed' in str(caught.value)
        assert raw.connection_count == len(HEADS)


@asynccontextmanager
async def guarded_client(address: str) -> AsyncIterator[GuardedHttpClient]:
    client = GuardedHttpClient(f'http://{address}', timeout_s=1.0)
    try:
        yield client
    finally:
        await client.close()


@pytest.mark.parametrize('name', HEADS)
async def test_malformed_head_leaves_the_outcome_of_an_order_unknown(
    name: str,
) -> None:
    """Guards against orders and usage reports that count as accepted."""
    responses = MalformedResponses(HEADS[name], is_stream=False)
    async with (
        raw_endpoint(responses.answer) as raw,
        guarded_client(raw.address) as client,
    ):
        responses.malformed_left = 2
        with pytest.raises(PlatformOutcomeUnknownError, match='malformed'):
            await client.post('/orders', {}, None)
        with pytest.raises(PlatformError, match='malformed'):
            await client.get('/orders')
        await client.post('/orders', {}, None)
