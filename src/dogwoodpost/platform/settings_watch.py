"""Detects changes of the settings file."""

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
    """Reads the settings file again when its modification time has changed.

    :param current: settings that are in force.
    :param path: path of the file; None for the path in the environment.
    """

    def __init__(
        self, current: ProcessSettings, path: Path | None = None
    ) -> None:
        self._current = current
        self._path = path
        # None, as the file may have changed since ``current`` was read.
        self._mtime_ns: int | None = None

    def check(self, *, force: bool = False) -> ProcessSettings | None:
        """Return the settings if they have changed, otherwise None.

        If the file can't be read or is not valid, the current settings stay
        in force.

        :param force: read the file even if its modification time is the same.
        """
        mtime_ns = self._read_mtime_ns()
        if mtime_ns == self._mtime_ns and not force:
            return None
        self._mtime_ns = mtime_ns
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

    def _read_mtime_ns(self) -> int | None:
        """Return the modification time of the file, None if there is none."""
        try:
            return (self._path or settings_path()).stat().st_mtime_ns
        except (OSError, SettingsError):
            return None
