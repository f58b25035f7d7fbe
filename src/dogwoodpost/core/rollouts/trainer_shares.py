"""Shares of the engines between trainers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids


class TrainerShares:
    """Start-time fair queueing over generated tokens."""

    def __init__(self) -> None:
        self._virtual: dict[ids.TrainerId, float] = {}
        self._weights: dict[ids.TrainerId, float] = {}
        self._now = 0.0

    def set_weight(self, trainer_id: ids.TrainerId, weight: float) -> None:
        """Set a trainer's weight; the default is 1."""
        self._weights[trainer_id] = weight

    def activate(self, trainer_id: ids.TrainerId) -> None:
        """Let a trainer that had no work start level with the others."""
        old = self._virtual.get(trainer_id, 0.0)
        self._virtual[trainer_id] = max(old, self._now)

    def forget(self, trainer_id: ids.TrainerId) -> None:
        """Drop a trainer."""
        self._virtual.pop(trainer_id, None)
        self._weights.pop(trainer_id, None)

    def order(
        self, trainer_ids: Iterable[ids.TrainerId]
    ) -> list[ids.TrainerId]:
        """Return trainers, the one furthest below its share first."""
        return sorted(trainer_ids, key=lambda key: (self._virtual[key], key))

    def charge(self, trainer_id: ids.TrainerId, tokens: float) -> None:
        """Charge tokens, expected or, as a correction, actual ones."""
        self._now = max(self._now, self._virtual[trainer_id])
        weight = self._weights.get(trainer_id, 1.0)
        self._virtual[trainer_id] += tokens / weight
