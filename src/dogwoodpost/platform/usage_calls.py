"""Usage reports, one of the platform's singleton duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.errors import PlatformRateLimitError
from dogwoodpost.platform import wire_names
from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.ports.usage_reports import UsageReports

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids

_TIMEOUT_S = 0.7
_CONNECT_TIMEOUT_S = 0.5
_STATUS_OK = 200
_STATUS_TOO_MANY = 429
_RETRY_AFTER_S = 0.5


class _WireUsage(msgspec.Struct, frozen=True):
    """``counts`` are requests that began, by client account."""

    window: int
    counts: dict[str, int]


class HttpUsageReports(UsageReports):
    """Sends a window's counts under the fencing number of the lease."""

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        holder_name: str,
        fencing_number: Callable[[], ids.FencingNumber],
    ) -> None:
        self._url = f'http://{address}/usage'
        self._session = session
        self._holder_name = holder_name
        self._fencing_number = fencing_number

    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report a window."""
        counts = {
            str(account_id): figures.request_count
            for account_id, figures in report.figures.items()
            if figures.request_count
        }
        wire = _WireUsage(window=report.window, counts=counts)
        if before_send is not None:
            before_send()
        headers = {
            'Content-Type': 'application/json',
            wire_names.DUTY_HOLDER: self._holder_name,
            wire_names.FENCING_TOKEN: str(self._fencing_number()),
        }
        try:
            async with self._session.post(
                self._url,
                data=msgspec.json.encode(wire),
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=_TIMEOUT_S, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformOutcomeUnknownError(f'usage: {error!r}') from error
        if status == _STATUS_TOO_MANY:
            raise PlatformRateLimitError('usage: status 429', _RETRY_AFTER_S)
        if status != _STATUS_OK:
            raise PlatformError(f'usage: status {status}')
