"""Client of the platform's interface for usage reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.platform.guarded_http_client import GuardedHttpClient
from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.ports.usage_reports import UsageReports

if TYPE_CHECKING:
    from collections.abc import Callable


class HttpUsageReports(UsageReports):
    """Reports usage over HTTP with JSON."""

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float = 2.0,
        token: str | None = None,
    ) -> None:
        self._http = GuardedHttpClient(
            base_url, timeout_s=timeout_s, token=token
        )

    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report the usage of a window."""
        await self._http.post('/v1/usage', report, before_send)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()
