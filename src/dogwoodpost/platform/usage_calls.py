"""Usage reports, a singleton duty of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.ports.usage_reports import UsageReports

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.platform.duty_calls import DutyConnection

_PATH = '/usage'


class _WireUsage(msgspec.Struct, frozen=True):
    """A usage report; ``counts`` holds started requests by client account."""

    window: int
    counts: dict[str, int]


class HttpUsageReports(UsageReports):
    """Sends the request counts of usage windows."""

    def __init__(self, connection: DutyConnection) -> None:
        self._connection = connection

    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report the usage of a window."""
        counts = {
            str(account_id): figures.request_count
            for account_id, figures in report.figures.items()
            if figures.request_count
        }
        wire = _WireUsage(window=report.window, counts=counts)
        await self._connection.post(
            _PATH, msgspec.json.encode(wire), before_send
        )
