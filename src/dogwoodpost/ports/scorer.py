"""Port: a scoring service."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class Scorer(abc.ABC):
    """Scores samples; a call may be repeated with the same sample id."""

    @abc.abstractmethod
    async def score(
        self, sample_id: ids.SampleId, prompt: str, completion: str
    ) -> float:
        """Return the score of a sample.

        :raises PlatformError: the scorer failed or timed out.
        """
