"""Rules on the layout of the source tree."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import dogwoodpost

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(dogwoodpost.__file__).parent
FORBIDDEN_IN_CORE = frozenset(
    {
        'aiohttp',
        'asyncio',
        'grpclib',
        'mode',
        'pynng',
        'selectors',
        'socket',
        'ssl',
        'subprocess',
        'threading',
        'time',
        'urllib',
    }
)
OUTER_PACKAGES = ('adapters', 'admin', 'cli', 'services', 'standins')


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


@pytest.mark.parametrize(
    'path',
    sorted((ROOT / 'core').rglob('*.py')),
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_core_does_no_io(path: Path) -> None:
    """Guards against core code with I/O, whose decisions can't be replayed."""
    for module in imported_modules(path):
        assert module.split('.')[0] not in FORBIDDEN_IN_CORE, module
        for outer in OUTER_PACKAGES:
            assert not module.startswith(f'dogwoodpost.{outer}'), module


PLATFORM_WIRE_NAMES = re.compile(
    r'X-(Tenant|Duty-Holder|Expect-Instance|Not-Executed|Response-Signature)'
    r'|X-(Token-Usage|Prompt-Prefix|Weight-Versions|Length-Hint|Wait-Ms)'
    r'|rows-(tx|get|feed|parts)|blob-(put|get)|api/(lots|items|report|order)'
    r'|kvTokenCapacity|weightedServices|queueTtlS|fencingToken|apiKeys'
)
PLATFORM_PACKAGES = ('platform', 'standins')


def modules_outside_platform() -> list[Path]:
    return [
        path
        for path in sorted(ROOT.rglob('*.py'))
        if path.relative_to(ROOT).parts[0] not in PLATFORM_PACKAGES
    ]


@pytest.mark.parametrize(
    'path',
    modules_outside_platform(),
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_platform_names_stay_in_platform_packages(path: Path) -> None:
    """Guards against the platform's names and modules in other packages."""
    assert PLATFORM_WIRE_NAMES.search(path.read_text()) is None
    for module in imported_modules(path):
        assert not module.startswith('dogwoodpost.platform'), module


DIRECT_DECODING = re.compile(r'msgspec\.((json|msgpack)\.decode|convert)\(')
# Stand-ins and the demonstration decode only what this project sends them.
DECODING_EXEMPT_PACKAGES = ('standins', 'demo')


def test_bytes_are_decoded_in_one_place() -> None:
    """Guards against a decoder whose RecursionError ends the process."""
    direct = [
        str(path.relative_to(ROOT))
        for path in sorted(ROOT.rglob('*.py'))
        if path.relative_to(ROOT).parts[0] not in DECODING_EXEMPT_PACKAGES
        and DIRECT_DECODING.search(path.read_text())
    ]
    assert direct == ['core/decoding.py']


def test_platform_process_imports_no_unused_libraries() -> None:
    """Guards against longer start-up and more memory by unused libraries."""
    program = (
        'import sys, dogwoodpost.platform.launch as launch\n'
        'print([name for name in sys.argv[1:] if name in sys.modules])'
    )
    unused = ['pydantic', 'grpclib', 'pynng', 'cyclopts', 'json5', 'google']
    output = subprocess.run(
        [sys.executable, '-c', program, *unused],
        capture_output=True,
        text=True,
        check=True,
    )
    assert output.stdout.strip() == '[]'


def calls_in_sources(name: str) -> Iterator[tuple[Path, ast.Call]]:
    """Yield the calls of a class, by its name or as a module's attribute."""
    for path in sorted(ROOT.rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            called = node.func
            if isinstance(called, ast.Attribute) and called.attr == name:
                yield path, node
            elif isinstance(called, ast.Name) and called.id == name:
                yield path, node


def test_all_sessions_reject_malformed_responses() -> None:
    """Guards against sessions with the connector of aiohttp.

    BoundedProtocolConnector, the only class that extends it, checks the heads
    of responses.
    """
    assert not [path for path, _ in calls_in_sources('TCPConnector')]
    sessions = list(calls_in_sources('ClientSession'))
    assert sessions
    for path, call in sessions:
        names = [keyword.arg for keyword in call.keywords]
        assert 'connector' in names, path
