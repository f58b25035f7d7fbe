"""Client of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.adapters.platform import wire
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.host_list import HostList

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.ports.host_list import ListedHost


class HttpHostList(HostList):
    """Reads the list of hosts over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip('/')

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the current list."""
        try:
            async with self._session.get(f'{self._url}/hosts') as response:
                response.raise_for_status()
                body = await response.read()
            return msgspec.json.decode(body, type=wire.HostsResponse).hosts
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            raise PlatformError(
                f'cannot read the host list: {error!r}'
            ) from error
