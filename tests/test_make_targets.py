"""The ``make measure-*`` targets that the README names."""

from __future__ import annotations

import importlib.util
import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
README = (ROOT / 'README.md').read_text(encoding='utf-8')
TARGETS = sorted(set(re.findall(r'make (measure-[a-z]+)', README)))


@pytest.mark.parametrize('target', TARGETS)
def test_measure_targets_name_modules_that_run(target: str) -> None:
    """Guards against targets that fail with "cannot be directly executed"."""
    output = subprocess.run(
        ['make', '-n', target],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    module = re.findall(r'-m (measurements[.a-z_]+)', output)[-1]
    spec = importlib.util.find_spec(module)
    assert spec is not None
    assert spec.submodule_search_locations is None
