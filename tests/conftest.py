"""Shared fixtures and hypothesis profiles."""

from __future__ import annotations

import os

import hypothesis

# CI draws the same examples each time, so that its verdict is stable.
hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile('fuzz', deadline=None, max_examples=5_000)
hypothesis.settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'ci'))
