"""Contract tests of the scorer client against the stand-in."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from dogwoodpost.adapters.platform.scorer import HttpScorer
from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.standins import scorer

SAMPLE = ids.SampleId('trainer/step/0/0/1.0')


@pytest.mark.parametrize(
    'fault',
    ['failing_count', 'lost_response_count', 'malformed_count', 'latency_s'],
)
async def test_a_repeat_after_a_fault_gives_one_score(fault: str) -> None:
    """Guards against a sample that gets a second, different score."""
    state = scorer.ScorerState()
    setattr(state, fault, 1)
    server = TestServer(scorer.create_app(state), host='127.0.0.1')
    async with server, aiohttp.ClientSession() as session:
        url = str(server.make_url(''))
        timeout_s = 0.1 if fault == 'latency_s' else 5.0
        client = HttpScorer(session, url, timeout_s=timeout_s)
        with pytest.raises(PlatformError):
            await client.score(SAMPLE, 'prompt', 'first')
        state.latency_s = 0.0
        patient = HttpScorer(session, url, timeout_s=5.0)
        score = await patient.score(SAMPLE, 'prompt', 'first')
        assert score == await patient.score(SAMPLE, 'prompt', 'other')
        assert state.scores == {SAMPLE: score}
