"""Client of the platform's weight store."""

from __future__ import annotations

import aiohttp
import msgspec

from dogwoodpost.core import ids
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.weight_store import WeightStore


class LatestReply(msgspec.Struct, frozen=True):
    """Reply to ``GET /models/{model}/latest``."""

    version: ids.WeightVersion | None


class HttpWeightStore(WeightStore):
    """Reads weight versions over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip('/')

    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        """Return the newest announced version.

        :raises PlatformError: the store did not answer.
        """
        body = await self._get(f'/models/{model}/latest')
        try:
            return msgspec.json.decode(body, type=LatestReply).version
        except msgspec.MsgspecError as error:
            raise PlatformError(f'weight store: {error}') from error

    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        """Return the weights.

        :raises PlatformError: the store failed, or its rate limit applies.
        """
        return await self._get(f'/models/{model}/versions/{version}')

    async def _get(self, path: str) -> bytes:
        try:
            async with self._session.get(f'{self._url}{path}') as reply:
                reply.raise_for_status()
                return await reply.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformError(f'weight store: {error!r}') from error
