"""In-memory cache of weight versions, shared by a host's endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.core.weights.weight_plan import FROM_WEIGHT_STORE
from dogwoodpost.errors import PlatformError
from dogwoodpost.services.agent.weights.weight_copy import CHUNK_BYTES
from dogwoodpost.services.agent.weights.weight_copy import weight_digest
from dogwoodpost.services.agent.weights.weight_copy import WeightCopy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.weight_store import WeightStore

_log = structlog.get_logger()

# The version that engines serve and the next one that they load.
KEPT_VERSION_COUNT = 2
LENGTH_HEADER = 'Dogwoodpost-Weight-Length'
DIGEST_HEADER = 'Dogwoodpost-Weight-Digest'


class WeightCache:
    """Fetches weight versions from other agents or from the weight store.

    A version can be read while its download is still running. When a source
    fails, the download continues from the next one at the same offset.

    :param source_timeout_s: limit for connecting to another agent and for
        each read from it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        store: WeightStore,
        *,
        source_timeout_s: float = 10.0,
    ) -> None:
        self._session = session
        self._store = store
        self._timeout = aiohttp.ClientTimeout(
            sock_connect=source_timeout_s, sock_read=source_timeout_s
        )
        self._copy_added = asyncio.Event()
        self._copies: dict[
            tuple[ids.ModelName, ids.WeightVersion], WeightCopy
        ] = {}
        self._fetches: dict[
            tuple[ids.ModelName, ids.WeightVersion], asyncio.Task[None]
        ] = {}

    async def wait_for_copy(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> WeightCopy:
        """Return a copy once its length and digest are known.

        Waits without a time limit for the download to start.

        :raises PlatformError: the download failed.
        """
        while (copy := self._copies.get((model, version))) is None:
            self._copy_added.clear()
            await self._copy_added.wait()
        await copy.wait_for_metadata()
        return copy

    async def get_or_fetch(
        self,
        model: ids.ModelName,
        version: ids.WeightVersion,
        sources: Sequence[str],
    ) -> bytes:
        """Return a version; all callers share one download.

        :raises PlatformError: no source gave the complete version.
        """
        key = (model, version)
        if key not in self._fetches:
            self._copies[key] = WeightCopy()
            self._copy_added.set()
            fetch = asyncio.ensure_future(self._fetch(key, list(sources)))
            self._fetches[key] = fetch
            self._drop_old_versions(model)
        copy = self._copies[key]
        await asyncio.shield(self._fetches[key])
        return bytes(copy.data)

    async def close(self) -> None:
        """Cancel the running downloads."""
        fetches = list(self._fetches.values())
        for fetch in fetches:
            fetch.cancel()
        await asyncio.gather(*fetches, return_exceptions=True)

    async def _fetch(
        self,
        key: tuple[ids.ModelName, ids.WeightVersion],
        sources: list[str],
    ) -> None:
        copy = self._copies[key]
        try:
            await self._fetch_from_any(key, copy, sources)
        except PlatformError as error:
            # Forget the download, so that a later command starts a new one
            # with its own sources.
            self._fetches.pop(key, None)
            if self._copies.get(key) is copy:
                del self._copies[key]
            copy.fail(error)
            raise

    async def _fetch_from_any(
        self,
        key: tuple[ids.ModelName, ids.WeightVersion],
        copy: WeightCopy,
        sources: list[str],
    ) -> None:
        last_error = PlatformError('no source was named')
        for source in sources:
            try:
                if source == FROM_WEIGHT_STORE:
                    await self._fetch_from_store(key, copy)
                else:
                    await self._fetch_from_agent(key, copy, source)
                copy.finish()
            except PlatformError as error:
                last_error = _source_error(source, str(error))
            except (aiohttp.ClientError, TimeoutError) as error:
                last_error = _source_error(source, call_failure(error))
            else:
                return
        raise last_error

    async def _fetch_from_store(
        self,
        key: tuple[ids.ModelName, ids.WeightVersion],
        copy: WeightCopy,
    ) -> None:
        data = await self._store.fetch(*key)
        copy.set_metadata(len(data), weight_digest(data))
        copy.append(data[len(copy.data) :])

    async def _fetch_from_agent(
        self,
        key: tuple[ids.ModelName, ids.WeightVersion],
        copy: WeightCopy,
        source: str,
    ) -> None:
        model, version = key
        url = f'{source.rstrip("/")}/weights/{model}/{version}'
        async with self._session.get(
            url,
            params={'offset': str(len(copy.data))},
            timeout=self._timeout,
        ) as response:
            if response.status != 200:
                raise PlatformError(f'HTTP status {response.status}')
            length = response.headers.get(LENGTH_HEADER, '')
            if not length.isdecimal():
                raise PlatformError('the length of the version is missing')
            digest = response.headers.get(DIGEST_HEADER, '')
            copy.set_metadata(int(length), digest)
            async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                copy.append(chunk)

    def _drop_old_versions(self, model: ids.ModelName) -> None:
        versions = sorted(key[1] for key in self._copies if key[0] == model)
        for version in versions[:-KEPT_VERSION_COUNT]:
            self._copies.pop((model, version), None)
            fetch = self._fetches.pop((model, version), None)
            if fetch is not None:
                fetch.cancel()


def _source_error(source: str, reason: str) -> PlatformError:
    """Log the failure of a source and return its error."""
    _log.info('weight_source_failed', source=source, error=reason)
    return PlatformError(f'{source}: {reason}')
