"""Changes of the settings file while a process runs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.membership.host_weight import HostResources
from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings_watch import SettingsWatch

if TYPE_CHECKING:
    from pathlib import Path


def write_settings(path: Path, store: str, mtime_s: int) -> None:
    settings = {
        'node': 'n',
        'zone': 'z',
        'region': 'r',
        'platform': {'address': store},
    }
    path.write_bytes(msgspec.json.encode(settings))
    os.utime(path, (mtime_s, mtime_s))


def test_changes_are_noticed_without_a_signal(tmp_path: Path) -> None:
    """Guards against the use of an old address until a signal comes."""
    path = tmp_path / 'settings.json'
    write_settings(path, 'old:1', 100)
    watch = SettingsWatch(load_settings(path), path)
    assert watch.check() is None
    write_settings(path, 'new:1', 101)
    changed = watch.check()
    assert changed is not None
    assert changed.platform.address == 'new:1'
    assert watch.check() is None
    # A signal forces a read, also if the modification time is the same.
    write_settings(path, 'newer:1', 101)
    assert watch.check() is None
    assert watch.check(force=True) is not None


def test_a_change_during_startup_is_noticed(tmp_path: Path) -> None:
    """Guards against missing a change between the first read and the watch."""
    path = tmp_path / 'settings.json'
    write_settings(path, 'old:1', 100)
    settings = load_settings(path)
    write_settings(path, 'new:1', 101)
    changed = SettingsWatch(settings, path).check()
    assert changed is not None
    assert changed.platform.address == 'new:1'


def test_an_invalid_file_leaves_settings_in_force(tmp_path: Path) -> None:
    """Guards against failures while the file is missing or half written."""
    path = tmp_path / 'settings.json'
    write_settings(path, 'old:1', 100)
    watch = SettingsWatch(load_settings(path), path)
    path.write_bytes(b'{"node": ')
    os.utime(path, (101, 101))
    assert watch.check() is None
    path.unlink()
    assert watch.check() is None
    write_settings(path, 'new:1', 102)
    assert watch.check() is not None


def test_resources_that_are_not_stated_are_unknown(tmp_path: Path) -> None:
    """Guards against announcing a default as the host's amount."""
    path = tmp_path / 'settings.json'
    write_settings(path, 'a:1', 100)
    assert load_settings(path).limits.resources == HostResources(cores=1.0)
    document = msgspec.json.decode(path.read_bytes())
    document['limits'] = {
        'memoryMb': 200,
        'maxFds': 4100,
        'linkMbps': 30.5,
        'cpuShare': 0.5,
    }
    path.write_bytes(msgspec.json.encode(document))
    assert load_settings(path).limits.resources == HostResources(
        cores=0.5, memory_mb=200.0, descriptor_count=4_100, link_mbps=30.5
    )
