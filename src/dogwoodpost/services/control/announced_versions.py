"""The newest announced weight version of each model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock

_log = structlog.get_logger(__name__)


class AnnouncedVersions:
    """Newest announced version by model; a version never decreases."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions: dict[ids.ModelName, ids.WeightVersion] = {}
        self._changed_s: dict[ids.ModelName, float] = {}

    def record(self, model: ids.ModelName, version: ids.WeightVersion) -> None:
        """Record an announced version; an older one has no effect."""
        if version > self._versions.get(model, 0):
            self._versions[model] = version
            self._changed_s[model] = self._clock.monotonic_s()
            _log.info('version_named', model=model, version=version)

    def items(self) -> list[tuple[ids.ModelName, ids.WeightVersion]]:
        """Return all models with their newest version."""
        return list(self._versions.items())

    def models_unchanged_for(self, duration_s: float) -> set[ids.ModelName]:
        """Return the models whose newest version has not changed recently.

        :param duration_s: least time since the last change, in seconds.
        """
        latest_change_s = self._clock.monotonic_s() - duration_s
        return {
            model
            for model, changed_s in self._changed_s.items()
            if changed_s <= latest_change_s
        }
