"""Port: the platform's interface that takes usage reports."""

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
    """The frozen figures of one window."""

    window: ids.UsageWindow
    figures: dict[ids.ClientAccountId, UsageFigures]


class UsageReports(abc.ABC):
    """Takes usage reports; knows no fencing number."""

    @abc.abstractmethod
    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report a window.

        ``before_send`` is called directly before the bytes of the report go
        out; if it raises, none is sent and its exception passes through.

        :raises PlatformError: the report was refused or not taken.
        :raises PlatformOutcomeUnknownError: the answer was lost; a repeat
            with the same figures is safe.
        """
