"""Port: the platform's rate-limited weight store."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class WeightStore(abc.ABC):
    """Weight versions of models."""

    @abc.abstractmethod
    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        """Return the newest announced version.

        :raises PlatformError: the store did not answer.
        """

    @abc.abstractmethod
    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        """Return the weights.

        :raises PlatformError: the store failed, or its rate limit applies.
        """
