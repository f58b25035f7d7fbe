"""Port: counts usage per client account."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class UsageRecorder(abc.ABC):
    """Takes the usage of completed requests."""

    @abc.abstractmethod
    def record(
        self,
        client_account_id: ids.ClientAccountId,
        *,
        request_count: int,
        prompt_tokens: int,
        completion_tokens: int,
    ) -> None:
        """Add to the window that is open now."""
