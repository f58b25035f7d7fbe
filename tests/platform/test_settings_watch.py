"""Settings files that change while a process runs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.platform.settings import load_settings
from dogwoodpost.platform.settings_watch import SettingsWatch

if TYPE_CHECKING:
    from pathlib import Path


def write(path: Path, store: str, written_s: int) -> None:
    settings = {
        'node': 'n',
        'zone': 'z',
        'region': 'r',
        'platform': {'address': store},
    }
    path.write_bytes(msgspec.json.encode(settings))
    os.utime(path, (written_s, written_s))


def test_changes_are_noticed_without_a_signal(tmp_path: Path) -> None:
    """Guards against addresses that stay in use after they have changed."""
    path = tmp_path / 'settings.json'
    write(path, 'old:1', 100)
    watch = SettingsWatch(load_settings(path), path)
    assert watch.check() is None
    write(path, 'new:1', 101)
    changed = watch.check()
    assert changed is not None
    assert changed.platform.address == 'new:1'
    assert watch.check() is None
    # A signal also tells of a change within the clock's resolution.
    write(path, 'newer:1', 101)
    assert watch.check() is None
    assert watch.check(force=True) is not None


def test_a_change_while_the_process_starts_is_noticed(tmp_path: Path) -> None:
    """Guards against a change between reading the file and watching it."""
    path = tmp_path / 'settings.json'
    write(path, 'old:1', 100)
    settings = load_settings(path)
    write(path, 'new:1', 101)
    changed = SettingsWatch(settings, path).check()
    assert changed is not None
    assert changed.platform.address == 'new:1'


def test_a_broken_file_changes_nothing(tmp_path: Path) -> None:
    """Guards against processes that end when a file is half written."""
    path = tmp_path / 'settings.json'
    write(path, 'old:1', 100)
    watch = SettingsWatch(load_settings(path), path)
    path.write_bytes(b'{"node": ')
    os.utime(path, (101, 101))
    assert watch.check() is None
    path.unlink()
    assert watch.check() is None
    write(path, 'new:1', 102)
    assert watch.check() is not None
