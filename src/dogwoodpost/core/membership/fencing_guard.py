"""Refuses orders with outdated fencing numbers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids


class FencingVerdict(Enum):
    """Whether an order may be carried out."""

    ACCEPTED = 'accepted'
    OUTDATED = 'outdated'
    NUMBER_NOT_KNOWN = 'number_not_known'


class FencingGuard:
    """Highest fencing number per shard that this incarnation has seen.

    A new agent has seen no number, so an order of a former lease holder could
    pass. Only a number read from the store since the agent began ends that.
    """

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._confirmed: set[str] = set()

    def highest(self, shard: ids.ShardName) -> int:
        """Return the highest number seen for a shard, or 0."""
        return self._highest.get(shard, 0)

    def learn(self, numbers: Mapping[str, int]) -> None:
        """Take numbers read from the store since the agent began."""
        for shard, number in numbers.items():
            self._confirmed.add(shard)
            if number > self._highest.get(shard, 0):
                self._highest[shard] = number

    def check(
        self,
        shard: ids.ShardName,
        number: ids.FencingNumber,
        *,
        endpoint_checks: bool,
    ) -> FencingVerdict:
        """Decide on an order, and keep its number if it is accepted.

        :param endpoint_checks: the endpoint itself refuses outdated numbers.
        """
        if number < self.highest(shard):
            return FencingVerdict.OUTDATED
        if shard not in self._confirmed and not endpoint_checks:
            return FencingVerdict.NUMBER_NOT_KNOWN
        self._highest[shard] = number
        return FencingVerdict.ACCEPTED
