"""The newest weight version that is named for each model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock

_log = structlog.get_logger(__name__)


class AnnouncedVersions:
    """Versions by model; they only rise."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._versions: dict[ids.ModelName, ids.WeightVersion] = {}
        self._seen_s: dict[ids.ModelName, float] = {}

    def record(self, model: ids.ModelName, version: ids.WeightVersion) -> None:
        """Take a named version; an older one has no effect."""
        if version > self._versions.get(model, 0):
            self._versions[model] = version
            self._seen_s[model] = self._clock.monotonic_s()
            _log.info('version_named', model=model, version=version)

    def items(self) -> list[tuple[ids.ModelName, ids.WeightVersion]]:
        """Return all models with their newest version."""
        return list(self._versions.items())

    def models_unchanged_for(self, duration_s: float) -> set[ids.ModelName]:
        """Return the models whose newest version is known for so long."""
        seen_by_s = self._clock.monotonic_s() - duration_s
        return {
            model
            for model, seen_s in self._seen_s.items()
            if seen_s <= seen_by_s
        }
