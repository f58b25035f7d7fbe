"""Settings of a process, as the platform's template renders them."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from dogwoodpost.core.findings import Finding
from dogwoodpost.errors import SettingsError

PATH_VARIABLE = 'DOGWOODPOST_BOOT'


class _Fields(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Base of all parts; fields that are not named here are ignored."""


class LimitSettings(_Fields, frozen=True, kw_only=True):
    """What the host grants to a process.

    :param cpu_share: share of a core, at the speed of the platform's.
    :param cores: how many times as fast the host's core is.
    """

    memory_mb: int = 128
    cpu_share: float = 1.0
    cores: float = 1.0


class BoundSettings(_Fields, frozen=True, kw_only=True):
    """Figures that the deployment holds the system to.

    The suffixes are the platform's: ``S`` seconds, ``Ms`` milliseconds.
    """

    grace_s: float = 8.0
    lease_ms: float = 3000.0
    report_window_s: float = 5.0
    usage_late_s: float = 10.0
    status_s: float = 120.0
    revoke_ms: float = 5000.0
    strict_revoke: bool = False


class StoreSettings(_Fields, frozen=True, kw_only=True):
    """The metadata store; the platform calls it ``platform``.

    :param reads_per_s: calls that all processes together may make.
    """

    address: str
    reads_per_s: float = 2_000.0


class DutySettings(_Fields, frozen=True, kw_only=True):
    """The API for singleton duties; the platform calls it ``cloud``."""

    address: str = ''
    duties: tuple[str, ...] = ()


class ProcessSettings(_Fields, frozen=True, kw_only=True):
    """Settings of one process.

    :param node: name of the process; the platform's word for it.
    :param zones: region by availability zone.
    :param platform: the metadata store.
    :param cloud: the API for singleton duties.
    """

    node: str
    zone: str
    region: str
    platform: StoreSettings
    ip: str = ''
    zones: dict[str, str] = {}
    listen: dict[str, str] = {}
    port_range: tuple[int, ...] = ()
    limits: LimitSettings = LimitSettings()
    bounds: BoundSettings = BoundSettings()
    cloud: DutySettings = DutySettings()

    @property
    def peer_address(self) -> str:
        """Return where other processes call this one, empty if nowhere."""
        if not self.ip or not self.port_range:
            return ''
        return f'{self.ip}:{self.port_range[0]}'


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingsError: the environment does not name it.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        finding = Finding(PATH_VARIABLE, 'nothing', 'path of the settings')
        raise SettingsError([finding])
    return Path(path)


def load_settings(path: Path) -> ProcessSettings:
    """Read the settings.

    :raises SettingsError: the file can't be read or has another form.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=ProcessSettings)
    except OSError as error:
        finding = Finding(str(path), str(error), 'a readable file')
    except msgspec.MsgspecError as error:
        finding = Finding(str(path), str(error), 'settings of a process')
    raise SettingsError([finding]) from None
