"""Client of a scoring service."""

from __future__ import annotations

import aiohttp
import msgspec

from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.scorer import Scorer

_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError)


class ScoreRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /score``."""

    sample_id: ids.SampleId
    prompt: str
    completion: str


class ScoreReply(msgspec.Struct, frozen=True):
    """Reply to ``POST /score``."""

    score: float


class HttpScorer(Scorer):
    """Scores samples over HTTP with JSON."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip('/')

    async def score(
        self, sample_id: ids.SampleId, prompt: str, completion: str
    ) -> float:
        """Return the score of a sample.

        :raises PlatformError: the scorer failed or timed out.
        """
        body = msgspec.json.encode(ScoreRequest(sample_id, prompt, completion))
        try:
            async with self._session.post(
                f'{self._url}/score', data=body
            ) as reply:
                reply.raise_for_status()
                data = await reply.read()
            return msgspec.json.decode(data, type=ScoreReply).score
        except _ERRORS as error:
            raise PlatformError(f'scorer: {error!r}') from error
