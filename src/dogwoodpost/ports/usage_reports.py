"""Port: the platform's interface for usage reports."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Callable


class UsageFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of one client account in one window."""

    request_count: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    adjustment_request_count: int = 0
    adjustment_prompt_tokens: int = 0
    adjustment_completion_tokens: int = 0


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """The final usage of one window."""

    window: ids.UsageWindow
    figures: dict[ids.ClientAccountId, UsageFigures]


class UsageReports(abc.ABC):
    """Submits usage reports.

    The platform does not check fencing numbers on this interface.
    """

    @abc.abstractmethod
    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report the usage of a window.

        ``before_send`` is called directly before the bytes of the report are
        sent. If it raises, no byte is sent and the exception propagates.

        :raises PlatformError: the report was refused or not accepted.
        :raises PlatformOutcomeUnknownError: the response was lost; the call
            may be repeated with the same figures.
        """
