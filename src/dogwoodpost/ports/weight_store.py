"""Port: the platform's rate-limited weight store."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class WeightStore(abc.ABC):
    """Provides the weight versions of models."""

    @abc.abstractmethod
    async def latest_version(
        self, model: ids.ModelName
    ) -> ids.WeightVersion | None:
        """Return the newest announced version, or None before the first.

        :raises PlatformError: the store did not answer.
        """

    @abc.abstractmethod
    async def fetch(
        self, model: ids.ModelName, version: ids.WeightVersion
    ) -> bytes:
        """Return the weights of a version.

        :raises PlatformError: the store failed, or its rate limit applies.
        """
