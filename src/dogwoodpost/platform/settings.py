"""Settings of a process, rendered from the platform's template."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec

from dogwoodpost.core.decoding import convert_value
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.findings import Finding
from dogwoodpost.core.membership.host_weight import HostResources
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import SettingsError
from dogwoodpost.platform.listen_address import ListenAddress

PATH_VARIABLE = 'DOGWOODPOST_BOOT'


class _SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Base of all settings structs; unknown fields are ignored."""


class LimitSettings(_SettingsStruct, frozen=True, kw_only=True):
    """Resources that the host grants to a process; 0 if not stated.

    :param memory_mb: memory in mebibytes.
    :param cpu_share: share of a core.
    :param cores: speed of the host's core, as a multiple of the speed of the
        platform's reference core.
    :param max_fds: descriptors that the process may open.
    :param link_mbps: bandwidth of the host's link, in Mbit/s.
    """

    memory_mb: float = 0.0
    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: float = 0.0
    link_mbps: float = 0.0

    @property
    def memory_bytes(self) -> int:
        """Return the memory to count on, in bytes."""
        return self.resources.memory_bytes

    @property
    def resources(self) -> HostResources:
        """Return the resources to announce to other processes."""
        return HostResources(
            cores=self.cpu_share * self.cores,
            memory_mb=self.memory_mb,
            descriptor_count=int(self.max_fds),
            link_mbps=self.link_mbps,
        )


class BoundSettings(_SettingsStruct, frozen=True, kw_only=True):
    """Time bounds that the deployment sets for the system.

    The suffixes of the names in the file are the platform's: ``S`` stands for
    seconds, ``Ms`` for milliseconds.

    :param grace_s: time from a stop signal until the process must have ended.
    :param lease_ms: duration of the leases of singleton duties.
    :param report_window_s: length of a window of usage reports.
    :param status_s: how long results of a batch job stay readable after its
        acceptance.
    :param settle_ms: time within which all processes have to show a batch job
        or a result that one of them has shown.
    :param cold_overage: factor on the rate that a cold endpoint tolerates, up
        to which it may get requests.
    :param revoke_ms: time within which a revoked key must stop working.
    :param strict_revoke: whether routes that need a key are refused while the
        configuration may be older than ``revoke_ms`` allows.
    """

    grace_s: float = 8.0
    lease_ms: float = 3000.0
    report_window_s: float = 5.0
    usage_late_s: float = 10.0
    status_s: float = 120.0
    settle_ms: float = 1000.0
    revoke_ms: float = 5000.0
    strict_revoke: bool = False
    cold_overage: float = 1.0


class StoreSettings(_SettingsStruct, frozen=True, kw_only=True):
    """The metadata store, which the settings file calls ``platform``.

    :param address: host and port.
    :param reads_per_s: read calls per second that all processes together may
        make.
    """

    address: str
    reads_per_s: float = 2_000.0


class DutySettings(_SettingsStruct, frozen=True, kw_only=True):
    """The API for singleton duties, which the settings file calls ``cloud``.

    :param address: host and port.
    :param duties: names of the duties that the process competes for, besides
        weight orders.
    """

    address: str = ''
    duties: tuple[str, ...] = ()


class ProcessSettings(_SettingsStruct, frozen=True, kw_only=True):
    """Settings of one process.

    :param node: id of the process; the name of the field is the platform's.
    :param ip: IP address at which other processes reach this one.
    :param zones: region of each availability zone.
    :param listen: listening addresses (host and port) by name: ``front`` for
        clients, ``ready`` for readiness checks, ``metrics``.
    :param port_range: first and last of the ports of the process; other
        processes call the first, and send datagrams to the second.
    :param platform: the metadata store.
    :param cloud: the API for singleton duties.
    :param policy: the operators' table of switches, in the names of this
        project; ``PolicyReader`` checks it.
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
    policy: Any = None

    @property
    def peer_address(self) -> str:
        """Return the address for calls of other processes, empty if none."""
        if not self.ip or not self.port_range:
            return ''
        return f'{self.ip}:{self.port_range[0]}'

    @property
    def datagram_address(self) -> str:
        """Return the address for datagrams of others, empty if none.

        A range of one port serves both, as TCP and UDP ports are separate.
        """
        if not self.ip or not self.port_range:
            return ''
        first_port = self.port_range[0]
        port = min(first_port + 1, max(first_port, self.port_range[-1]))
        return f'{self.ip}:{port}'


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingsError: the environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        finding = Finding(
            PATH_VARIABLE, 'nothing', 'path of the settings file'
        )
        raise SettingsError([finding])
    return Path(path)


def load_settings(path: Path) -> ProcessSettings:
    """Read the settings of a process from a file.

    Fields without a value count as missing.

    :raises SettingsError: the file can't be read or is not valid.
    """
    try:
        document = decode_json(path.read_bytes(), dict[str, Any])
        settings = convert_value(_without_empty(document), ProcessSettings)
        for address in settings.listen.values():
            ListenAddress(address)
        return settings
    except ValueError:
        finding = Finding(str(path), 'a malformed address', 'host:port')
    except OSError as error:
        finding = Finding(str(path), str(error), 'a readable file')
    except MalformedDataError as error:
        finding = Finding(str(path), str(error), 'settings of a process')
    raise SettingsError([finding]) from None


def _without_empty(document: dict[str, Any]) -> dict[str, Any]:
    """Return a table without the fields that have no value."""
    return {
        name: _without_empty(value) if isinstance(value, dict) else value
        for name, value in document.items()
        if value is not None
    }
