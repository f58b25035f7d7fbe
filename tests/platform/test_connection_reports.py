"""Logs and metrics of connections on which a call was given up."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
import structlog.testing

from dogwoodpost.observability import Metrics
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.sessions import http_session
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

TIMEOUT_S = 0.6


@pytest.mark.parametrize('answered_count', [0, 1])
async def test_log_tells_a_used_connection_from_a_new_one(
    answered_count: int,
) -> None:
    """Guards against time-outs whose cause can't be told from the logs."""

    async def answer(request: RawRequest, response: RawResponse) -> None:
        if request.total_number > answered_count:
            await asyncio.sleep(3.0)
        await response.write_response(b'whole')

    metrics = Metrics()
    async with (
        raw_endpoint(answer) as endpoint,
        http_session(ConnectionCounts(metrics), reuse=True) as session,
    ):
        url = f'http://{endpoint.address}/'
        for _ in range(answered_count):
            async with session.get(url) as response:
                await response.read()
        with (
            structlog.testing.capture_logs() as logs,
            pytest.raises(TimeoutError),
        ):
            await session.get(
                url,
                headers={'X-Request-Id': 'silent'},
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            )
    [line] = [one for one in logs if one['event'] == 'connection_silent']
    assert line['request_id'] == 'silent'
    assert line['address'] == endpoint.address
    assert line['call_number'] == answered_count + 1
    assert line['has_worked'] is bool(answered_count)
    assert line['silent_ms'] == pytest.approx(TIMEOUT_S * 1_000, abs=200)
    assert line['silent_connections'] == 1
    kind = 'used' if answered_count else 'new'
    rendered = metrics.render().decode()
    assert f'name="connection_silent_{kind}"}} 1.0' in rendered
