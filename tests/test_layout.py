"""Rules on the layout of the source tree."""

from __future__ import annotations

import ast
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

import dogwoodpost

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(dogwoodpost.__file__).parent
FORBIDDEN = frozenset(
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
    """Guards against decisions that cannot be replayed without a network."""
    for module in imported_modules(path):
        assert module.split('.')[0] not in FORBIDDEN, module
        for outer in OUTER_PACKAGES:
            assert not module.startswith(f'dogwoodpost.{outer}'), module
