"""Check of fencing numbers at an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids


class FencingNumbers:
    """Highest fencing number per shard, in memory only.

    After a restart the agent has no numbers. For endpoints that do not check
    fencing numbers themselves, it refuses all orders until an entry has sent
    it the number that the store held after the agent's start.
    """

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._read_back: set[str] = set()

    def record_read_back(self, numbers: Mapping[str, int]) -> None:
        """Record numbers that were read from the store since the start."""
        for shard, number in numbers.items():
            self._read_back.add(shard)
            self._record(shard, number)

    def highest(self, shard: ids.ShardName) -> int:
        """Return the highest number received for a shard, 0 if none."""
        return self._highest.get(shard, 0)

    def refusal_reason(
        self,
        shard: ids.ShardName,
        number: ids.FencingNumber,
        *,
        endpoint_checks: bool,
    ) -> str | None:
        """Return why an order must be refused, None if it may be sent.

        The number of an accepted order is recorded.

        :param endpoint_checks: whether the endpoint itself refuses orders
            with an outdated fencing number.
        """
        if not endpoint_checks and shard not in self._read_back:
            return 'the current fencing number is not known since the restart'
        highest = self._highest.get(shard, 0)
        if number < highest:
            return f'fencing number {number} is lower than {highest}'
        self._record(shard, number)
        return None

    def _record(self, shard: str, number: int) -> None:
        self._highest[shard] = max(number, self._highest.get(shard, 0))
