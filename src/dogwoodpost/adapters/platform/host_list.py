"""Client of the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import MAX_DOCUMENT_BYTES
from dogwoodpost.adapters.http.response_body import read_body
from dogwoodpost.adapters.platform import wire
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
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
                body = await read_body(response, max_bytes=MAX_DOCUMENT_BYTES)
            return decode_json(body, wire.HostsResponse).hosts
        except MalformedDataError as error:
            raise PlatformError(f'malformed host list: {error}') from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(
                f'cannot read the host list: {call_failure(error)}'
            ) from error
