"""Port: counts usage per client account."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class UsageRecorder(abc.ABC):
    """Records the usage of completed requests."""

    @abc.abstractmethod
    def record(
        self,
        client_account_id: ids.ClientAccountId,
        *,
        request_count: int,
        prompt_tokens: int,
        completion_tokens: int,
        at_wall_s: float | None = None,
    ) -> None:
        """Add usage to the window of a wall time, by default now."""
