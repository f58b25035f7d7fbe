"""Starts a process on the platform."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import uuid
from typing import NoReturn
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.membership import ProcessIdentity
from dogwoodpost.errors import SettingsError
from dogwoodpost.observability import configure_buffered_logs
from dogwoodpost.observability import LogBuffer
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.process import PlatformProcess
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings import settings_path

if TYPE_CHECKING:
    from dogwoodpost.platform.settings import ProcessSettings

_log = structlog.get_logger(__name__)
_FAILED_EXIT_CODE = 1
_INVALID_SETTINGS_EXIT_CODE = 2
# The platform writes the file at each start and whenever settings change.
_SETTINGS_RETRY_COUNT = 10
_SETTINGS_RETRY_S = 0.1
_STDOUT_FD = 1


def main() -> int:
    """Run the process until it is stopped; it ends with its exit code.

    :returns: the exit code if the settings are not valid.
    """
    try:
        settings = _load_settings_patiently()
    except SettingsError as error:
        print(error, file=sys.stderr)  # noqa: T201
        return _INVALID_SETTINGS_EXIT_CODE
    asyncio.run(_run(settings))


def _load_settings_patiently() -> ProcessSettings:
    """Read the settings, again if the file is just being written.

    :raises SettingsError: the file can't be read or is not valid for longer.
    """
    path = settings_path()
    for _ in range(_SETTINGS_RETRY_COUNT):
        try:
            return load_settings(path)
        except SettingsError:
            time.sleep(_SETTINGS_RETRY_S)
    return load_settings(path)


async def _run(settings: ProcessSettings) -> NoReturn:
    """Run the process and end it with its exit code."""
    metrics = Metrics()
    dropped_lines = metrics.events.labels('log_line_dropped')
    log_buffer = LogBuffer(_STDOUT_FD, dropped_lines.inc)
    identity = ProcessIdentity(
        process_id=ids.ProcessId(settings.node),
        incarnation=ids.Incarnation(uuid.uuid4().hex),
        address=settings.ip,
    )
    configure_buffered_logs(
        log_buffer,
        process_id=identity.process_id,
        incarnation=identity.incarnation[:8],
    )
    process = PlatformProcess(settings, identity, metrics, log_buffer)
    exit_code = _FAILED_EXIT_CODE
    try:
        exit_code = await process.run()
    except Exception:
        _log.exception('process_failed')
    log_buffer.flush()
    # What is still open needs no clean-up. The event loop and the interpreter
    # would take some tenths of a second for it, which a stop does not have.
    os._exit(exit_code)
