"""The newest weight version that is named for each model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from dogwoodpost.core import ids

_log = structlog.get_logger(__name__)


class NamedVersions:
    """Versions by model; they only rise."""

    def __init__(self) -> None:
        self._versions: dict[ids.ModelName, ids.WeightVersion] = {}

    def name(self, model: ids.ModelName, version: ids.WeightVersion) -> None:
        """Take a named version; an older one has no effect."""
        if version > self._versions.get(model, 0):
            self._versions[model] = version
            _log.info('version_named', model=model, version=version)

    def items(self) -> list[tuple[ids.ModelName, ids.WeightVersion]]:
        """Return all models with their newest version."""
        return list(self._versions.items())
