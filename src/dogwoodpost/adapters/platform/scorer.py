"""HTTP client of a scoring service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import MAX_DOCUMENT_BYTES
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.scorer import Scorer

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class ScoreRequest(msgspec.Struct, frozen=True):
    """Request body; the scorer treats a known sample id as a repeat."""

    sample_id: str
    prompt: str
    completion: str


class ScoreReply(msgspec.Struct, frozen=True):
    """Response body."""

    sample_id: str
    score: float


class HttpScorer(Scorer):
    """Calls ``POST {base}/score``."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        timeout_s: float,
        token: str | None = None,
    ) -> None:
        self._session = session
        self._url = base_url.rstrip('/') + '/score'
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def score(
        self, sample_id: ids.SampleId, prompt: str, completion: str
    ) -> float:
        """Return the score of a sample."""
        body = ScoreRequest(sample_id, prompt, completion)
        try:
            async with self._session.post(
                self._url,
                data=msgspec.json.encode(body),
                headers=self._headers,
                timeout=self._timeout,
            ) as response:
                data = await read_body(response, max_bytes=MAX_DOCUMENT_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f'the scorer did not answer: {call_failure(error)}'
            raise PlatformError(message) from None
        if response.status != 200:
            raise PlatformError(f'scorer: HTTP status {response.status}')
        return _parse_score(data, sample_id)


def _parse_score(data: bytes, sample_id: ids.SampleId) -> float:
    try:
        reply = decode_json(data, ScoreReply)
    except MalformedDataError as error:
        raise PlatformError(
            f'malformed reply of the scorer: {error}'
        ) from None
    if reply.sample_id != sample_id or not math.isfinite(reply.score):
        raise PlatformError(
            'the reply of the scorer is for another sample, or its score is '
            'not finite'
        )
    return reply.score
