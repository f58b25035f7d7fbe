"""HTTP client of the platform's weight store."""

from __future__ import annotations

import aiohttp
import msgspec

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformRateLimitError
from dogwoodpost.ports.weight_store import WeightStore

DEFAULT_RETRY_AFTER_S = 1.0


class LatestVersion(msgspec.Struct, frozen=True):
    """Response body with the newest version."""

    version: ids.WeightVersion


class HttpWeightStore(WeightStore):
    """Calls ``GET {base}/weights/{model}/latest`` and ``/{version}``."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        *,
        timeout_s: float,
        token: str | None = None,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}

    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        """Return the newest announced version, or None before the first."""
        data = await self._get(f'/weights/{model}/latest')
        if data is None:
            return None
        try:
            return decode_json(data, LatestVersion).version
        except MalformedDataError as error:
            message = f'malformed reply of the weight store: {error}'
            raise PlatformError(message) from None

    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        """Return the weights of a version."""
        data = await self._get(f'/weights/{model}/{version}')
        if data is None:
            raise PlatformError(f'{model} has no version {version}')
        return data

    async def _get(self, path: str) -> bytes | None:
        try:
            async with self._session.get(
                self._base_url + path,
                headers=self._headers,
                timeout=self._timeout,
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            message = f'the weight store did not answer: {call_failure(error)}'
            raise PlatformError(message) from None
        if response.status == 404:
            return None
        if response.status == 429:
            raise PlatformRateLimitError(
                'the rate limit of the weight store applies',
                _retry_after_s(response),
            )
        if response.status != 200:
            raise PlatformError(f'weight store: HTTP status {response.status}')
        return data


def _retry_after_s(response: aiohttp.ClientResponse) -> float:
    text = response.headers.get('Retry-After', '')
    return float(text) if text.isdecimal() else DEFAULT_RETRY_AFTER_S
