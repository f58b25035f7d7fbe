"""Hypothesis profiles, and expected failures from KNOWN-RED.txt."""

from __future__ import annotations

import os
import re
from pathlib import Path

import hypothesis
import pytest

KNOWN_RED_PATH = Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_ID_PATTERN = re.compile(r'^\s*test:\s*(\S+)', re.MULTILINE)

# CI generates the same examples in each run, so that results are stable.
hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile('fuzz', deadline=None, max_examples=5_000)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))


def known_red_tests() -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_PATH.exists():
        return []
    return TEST_ID_PATTERN.findall(KNOWN_RED_PATH.read_text(encoding='utf-8'))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    known_red = frozenset(known_red_tests())
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests after each run."""
    for test in known_red_tests():
        terminalreporter.write_line(f'known red: {test}')
