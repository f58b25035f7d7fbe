"""State of an engine that orders change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.standins.engine.engine_refusal import EngineRefusal

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.settings import EngineSettings

ROLES = ('both', 'prefill', 'decode')


class EngineState:
    """Fencing number, weight versions, models, adapters and role."""

    def __init__(self, settings: EngineSettings) -> None:
        self._check_fencing = settings.check_fencing
        self.highest_fencing_number = 0
        self.weight_version = settings.weight_version
        self.loaded_versions: set[int] = set()
        self.models = {settings.model}
        self.adapters: set[str] = set()
        self.role = settings.role

    def check_fencing(self, number: int | None) -> None:
        """Refuse an order whose fencing number is lower than an earlier one.

        :raises EngineRefusal: the fencing number is outdated or missing.
        """
        if not self._check_fencing:
            return
        if number is None:
            raise EngineRefusal(
                400, 'fencing_number_missing', 'the order has no number'
            )
        if number < self.highest_fencing_number:
            raise EngineRefusal(
                409,
                'old_fencing_number',
                f'{number} is lower than {self.highest_fencing_number}',
            )
        self.highest_fencing_number = number

    def add_version(self, version: int) -> None:
        """Record a loaded weight version that is not in use yet."""
        if version != self.weight_version:
            self.loaded_versions.add(version)

    def switch(self, version: int) -> bool:
        """Use a loaded weight version and drop the old one.

        Returns whether the version in use changed.

        :raises EngineRefusal: the version is not loaded.
        """
        if version == self.weight_version:
            return False
        if version not in self.loaded_versions:
            raise EngineRefusal(
                409, 'not_loaded', f'version {version} is not loaded'
            )
        self.loaded_versions.remove(version)
        self.weight_version = version
        return True

    def set_role(self, role: str) -> None:
        """Change the role.

        :raises EngineRefusal: the role is unknown.
        """
        if role not in ROLES:
            raise EngineRefusal(400, 'unknown_role', f'no role {role!r}')
        self.role = role

    def check_model(self, name: str) -> None:
        """Check that a model or adapter is loaded; an empty name passes.

        :raises EngineRefusal: no such model or adapter is loaded.
        """
        if name and name not in self.models and name not in self.adapters:
            raise EngineRefusal(
                404, 'model_not_found', f'model {name!r} is not loaded'
            )
