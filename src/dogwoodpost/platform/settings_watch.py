"""Notices changes of the settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.errors import SettingsError
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings import settings_path

if TYPE_CHECKING:
    from pathlib import Path

    from dogwoodpost.platform.settings import ProcessSettings

_log = structlog.get_logger(__name__)


class SettingsWatch:
    """Reads the file again when it has changed.

    :param path: None for the path that the environment names.
    """

    def __init__(
        self, current: ProcessSettings, path: Path | None = None
    ) -> None:
        self._current = current
        self._path = path
        # Unknown: the file may have changed since it was read.
        self._changed_ns: int | None = None

    def check(self, *, force: bool = False) -> ProcessSettings | None:
        """Return the settings if they have changed.

        A file that can't be read leaves the present settings in force.

        :param force: read the file even if it seems to be the same.
        """
        changed_ns = self._modification_ns()
        if changed_ns == self._changed_ns and not force:
            return None
        self._changed_ns = changed_ns
        try:
            settings = load_settings(self._path or settings_path())
        except SettingsError as error:
            _log.error('settings_not_reloaded', error=str(error))
            return None
        if settings == self._current:
            _log.info('settings_unchanged')
            return None
        self._current = settings
        _log.info(
            'settings_reloaded',
            store=settings.platform.address,
            duties=settings.cloud.address,
        )
        return settings

    def _modification_ns(self) -> int | None:
        """Return when the file was written, None if there is none."""
        try:
            return (self._path or settings_path()).stat().st_mtime_ns
        except (OSError, SettingsError):
            return None
